#include "entry/accountgate.h"

namespace tarragon::entry {

auto account_gate::identify(const std::shared_ptr<const deployment> &Deployment,
                            const std::vector<std::string> &Keys)
    -> caller_identity {
  if (!Deployment || !Deployment->Accounts)
    return {};
  if (Keys.empty())
    return {.Fault = "missing"};
  if (Keys.size() > 1)
    return {.Fault = "repeated"};
  const auto Version = versionOf(Deployment);
  const route::account *const Account = Version->Table.find(Keys.front());
  if (!Account)
    return {.Fault = "unknown"};
  return {.Account = Account->Name, .Priority = Account->Priority.value_or(0)};
}

auto account_gate::versionOf(
    const std::shared_ptr<const deployment> &Deployment)
    -> std::shared_ptr<const version> {
  const std::lock_guard Lock(Mutex);
  if (Last && Last->Deployment == Deployment)
    return Last;
  auto Set = std::make_shared<route::route_set>();
  Set->Accounts = Deployment->Accounts;
  Last = std::make_shared<const version>(
      version{Deployment, account::account_table(std::move(Set), Seed)});
  return Last;
}

} // namespace tarragon::entry
