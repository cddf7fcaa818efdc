#include "config/internal/accountreader.h"

#include "config/internal/mappingreader.h"

#include <algorithm>

namespace tarragon::config {

namespace {

constexpr std::size_t MaxKeyLength = 256;
constexpr int_range PriorityRange{0, 100};
/// Requests per second, and of a burst.
constexpr double MaxRate = 1'000'000;
/// Each instance reports its usage to all others up to 10 times a second, so
/// that the messages grow with the square of the instances.
constexpr int MaxInstancesWithRates = 32;

/// Returns whether \p Text can be sent as the value of a header. Spaces are
/// excluded, as those at the ends are not part of a value.
auto isKey(const std::string_view Text) -> bool {
  const auto Allowed = [](const char Character) {
    return Character > ' ' && Character <= '~';
  };
  return !Text.empty() && Text.size() <= MaxKeyLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

} // namespace

auto account_reader::read(const YAML::Node &Node) -> route::account {
  route::account Account;
  mapping_reader Reader(Node, "account " + nameForFaults(Node, "name"),
                        {"name", "keys", "priority", "rate", "burst"}, Faults,
                        quoting::Hidden);
  if (!Reader.valid())
    return Account;
  Account.Name = Reader.readName("name");
  if (const auto Keys = Reader.require("keys"))
    readKeys(*Keys, Reader.name(), Account);
  if (Reader.find("priority"))
    Reader.readInt("priority", PriorityRange, Account.Priority.emplace(0));
  readQuota(Reader, Account);
  return Account;
}

auto account_reader::readQuota(mapping_reader &Reader, route::account &Account)
    -> void {
  Reader.readNumber("rate", MaxRate, Account.RatePerSecond);
  Reader.readNumber("burst", MaxRate, Account.Burst);
  const bool HasRate = Account.RatePerSecond > 0;
  if (!HasRate && Reader.find("burst"))
    Reader.reject("burst", result_code::ConfigOutOfRange,
                  "burst requires a rate above 0");
  if (HasRate && MaxInstances > MaxInstancesWithRates)
    Reader.reject("rate", result_code::ConfigOutOfRange,
                  "a rate requires that most_instances is at most " +
                      std::to_string(MaxInstancesWithRates));
}

auto account_reader::readKeys(const YAML::Node &Node,
                              const std::string &Context,
                              route::account &Account) -> void {
  if (!Node.IsSequence() || Node.size() == 0) {
    Faults.add(Node, result_code::ConfigMalformed,
               Context + ": keys must be a non-empty list");
    return;
  }
  for (const auto &Element : Node) {
    if (Faults.full())
      return;
    readKey(Element, Context, Account);
  }
}

auto account_reader::readKey(const YAML::Node &Node, const std::string &Context,
                             route::account &Account) -> void {
  if (!Node.IsScalar()) {
    Faults.add(Node, result_code::ConfigMalformed,
               Context + ": a key must be a single value");
    return;
  }
  const std::string &Key = Node.Scalar();
  if (!isKey(Key)) {
    Faults.add(Node, result_code::ConfigOutOfRange,
               Context + ": a key must be 1 to " +
                   std::to_string(MaxKeyLength) +
                   " visible ASCII characters without spaces");
    return;
  }
  // The name is shown to operators and sent to targets.
  if (Key == Account.Name) {
    Faults.add(Node, result_code::ConfigOutOfRange,
               "account ?: a key must differ from the account's name");
    return;
  }
  const auto [Holder, IsNew] = Holders.emplace(Key, Context);
  if (!IsNew) {
    Faults.add(Node, result_code::ConfigDuplicate,
               Context + ": the key already belongs to " + Holder->second);
    return;
  }
  Account.Keys.push_back(Key);
}

} // namespace tarragon::config
