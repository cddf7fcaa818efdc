#include "gateway/accountsview.h"

#include "gateway/gateway.h"

#include <json/json.h>

#include <algorithm>

namespace tarragon::gateway {

namespace {

constexpr std::size_t MaxRows = 64;

} // namespace

auto addAccounts(const gateway &Gateway, Json::Value &Status) -> void {
  const std::vector<route::account> *Accounts = Gateway.accounts();
  if (!Accounts)
    return;
  const std::size_t Count = std::min(Accounts->size(), MaxRows);
  Json::Value &Rows = Status["accounts"] = Json::Value(Json::arrayValue);
  for (std::size_t At = 0; At < Count; ++At) {
    const route::account &Account = (*Accounts)[At];
    Json::Value Row;
    Row["account"] = Account.Name;
    if (Account.Priority)
      Row["priority"] = *Account.Priority;
    Row["rate_per_s"] = Account.RatePerSecond;
    Row["burst"] = Account.Burst;
    Row["key_count"] = Json::UInt64{Account.Keys.size()};
    Rows.append(std::move(Row));
  }
  Status["accounts_not_listed"] = Json::UInt64{Accounts->size() - Count};
}

} // namespace tarragon::gateway
