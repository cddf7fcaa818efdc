#include "config/deploymentfile.h"

#include "config/internal/accountreader.h"
#include "config/internal/contractreader.h"
#include "config/internal/documentcount.h"
#include "config/internal/mappingreader.h"
#include "config/internal/servicereader.h"
#include "config/internal/textcheck.h"

#include <algorithm>
#include <exception>
#include <set>

namespace tarragon::config {

namespace {

constexpr std::size_t MaxFileBytes = 8'000'000;
constexpr int_range InstancesRange{1, 1000};
constexpr time_range LifetimeRange{std::chrono::milliseconds{100},
                                   std::chrono::hours{1}};
constexpr time_range HoldRange{std::chrono::seconds{0}, std::chrono::hours{24}};

/// Returns whether \p Name is new; adds a fault when it is a duplicate.
auto checkUnique(const YAML::Node &Node, const std::string &Kind,
                 const std::string &Name, std::set<std::string> &Seen,
                 fault_list &Faults) -> bool {
  if (Name.empty() || Seen.insert(Name).second)
    return true;
  Faults.add(Node, result_code::ConfigDuplicate,
             Kind + " " + Name + " appears twice");
  return false;
}

auto isList(const YAML::Node &Node, const std::string &Key, fault_list &Faults)
    -> bool {
  if (Node.IsSequence())
    return true;
  Faults.add(Node, result_code::ConfigMalformed, Key + " must be a list");
  return false;
}

auto readServices(const YAML::Node &Node, deployment &Deployment,
                  fault_list &Faults) -> void {
  if (!isList(Node, "services", Faults))
    return;
  std::set<std::string> Seen;
  service_reader Reader(Deployment.MaxInstances, Faults);
  for (const auto &Element : Node) {
    if (Faults.full())
      return;
    auto Service = Reader.read(Element);
    if (checkUnique(Element, "service", Service.Id, Seen, Faults))
      Deployment.Services.push_back(std::move(Service));
  }
}

auto readContracts(const YAML::Node &Node, deployment &Deployment,
                   fault_list &Faults) -> void {
  if (!isList(Node, "contracts", Faults))
    return;
  std::set<std::string> Seen;
  contract_reader Reader(Deployment, Faults);
  for (const auto &Element : Node) {
    if (Faults.full())
      return;
    auto Contract = Reader.read(Element);
    if (checkUnique(Element, "contract", Contract.Id, Seen, Faults))
      Deployment.Contracts.push_back(std::move(Contract));
  }
}

auto readAccounts(const YAML::Node &Node, deployment &Deployment,
                  fault_list &Faults) -> void {
  if (!isList(Node, "accounts", Faults))
    return;
  std::vector<route::account> &Accounts = Deployment.Accounts.emplace();
  std::set<std::string> Seen;
  account_reader Reader(Deployment.MaxInstances, Faults);
  for (const auto &Element : Node) {
    if (Faults.full())
      return;
    auto Account = Reader.read(Element);
    if (checkUnique(Element, "account", Account.Name, Seen, Faults))
      Accounts.push_back(std::move(Account));
  }
}

auto readRoot(const YAML::Node &Root, fault_list &Faults) -> deployment {
  deployment Deployment;
  mapping_reader Reader(Root, "deployment",
                        {"most_instances", "address_lifetime", "poison_hold",
                         "services", "contracts", "accounts"},
                        Faults);
  if (!Reader.valid())
    return Deployment;
  Reader.readInt("most_instances", InstancesRange, Deployment.MaxInstances);
  Reader.readTime("address_lifetime", LifetimeRange,
                  Deployment.AddressLifetime);
  Reader.readTime("poison_hold", HoldRange, Deployment.PoisonHold);
  if (const auto Services = Reader.require("services"))
    readServices(*Services, Deployment, Faults);
  if (const auto Contracts = Reader.require("contracts"))
    readContracts(*Contracts, Deployment, Faults);
  if (const auto Accounts = Reader.find("accounts"))
    readAccounts(*Accounts, Deployment, Faults);
  return Deployment;
}

/// Returns whether the file is short enough and valid UTF-8 without NUL, so
/// that any client of the platform can carry it unchanged; else adds a fault.
auto isPlainText(const std::string_view Text, fault_list &Faults) -> bool {
  if (Text.size() > MaxFileBytes) {
    Faults.addAt(1, 1, result_code::ConfigMalformed,
                 "the file is longer than " + std::to_string(MaxFileBytes) +
                     " bytes");
    return false;
  }
  const std::size_t InvalidByte = findInvalidByte(Text);
  if (InvalidByte == Text.size())
    return true;
  const std::string_view Before = Text.substr(0, InvalidByte);
  const auto LineStart = Before.rfind('\n') + 1;
  Faults.addAt(
      static_cast<int>(std::count(Before.begin(), Before.end(), '\n')) + 1,
      static_cast<int>(InvalidByte - LineStart) + 1,
      result_code::ConfigMalformed,
      "the file is not valid UTF-8 text without NUL bytes");
  return false;
}

/// Returns the message of \p Error. That of an undefined alias ends with its
/// name, which may be a key of an account that begins with `*`.
auto describeError(const YAML::Exception &Error) -> std::string {
  const std::string Undefined = YAML::ErrorMsg::UNKNOWN_ANCHOR;
  return Error.msg.starts_with(Undefined) ? Undefined : Error.msg;
}

auto readText(const std::string_view Text, fault_list &Faults) -> deployment {
  if (!isPlainText(Text, Faults))
    return {};
  const std::string Whole(Text);
  if (isOneDocument(Whole))
    return readRoot(YAML::Load(Whole), Faults);
  Faults.addAt(1, 1, result_code::ConfigMalformed,
               "the file must contain exactly one YAML document");
  return {};
}

} // namespace

auto parseDeployment(const std::string_view Text) -> parsed_file {
  fault_list Faults;
  deployment Deployment;
  try {
    Deployment = readText(Text, Faults);
  } catch (const YAML::Exception &Error) {
    Faults.addAt(std::max(Error.mark.line, 0) + 1,
                 std::max(Error.mark.column, 0) + 1,
                 result_code::ConfigMalformed, describeError(Error));
  } catch (const std::exception &Error) {
    Faults.addAt(1, 1, result_code::ConfigMalformed, Error.what());
  }
  return {std::move(Deployment), Faults.take()};
}

} // namespace tarragon::config
