#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::ctl {

/// The commands of the tool.
enum class command {
  Validate,
  Plan,
  Apply,
  Status,
  Entries,
  Query,
  Drain,
  Snapshot,
  Burn,
  Targets,
  Accounts,
  Explain,
  Help
};

enum class output_format { Table, Json };

/// The settings of one run, read from its command line and environment.
struct ctl_options {
  command Command = command::Help;
  output_format Output = output_format::Table;
  milliseconds Timeout{10000};
  std::vector<address> Entries;
  std::string Token;
  std::string ApiKey;                 ///< query; empty: none
  std::string File;                   ///< validate, plan, apply
  std::string Operator;               ///< apply
  std::string ChangeId;               ///< apply; empty: generate one
  std::optional<config_version> Base; ///< apply; none: version in force
  failure_domain Domain;              ///< entries
  contract_id Contract;               ///< query
  std::string Body;                   ///< query
  std::string Key;                    ///< query
  std::string Continuation;           ///< query
  bool Once = false;                  ///< query: obtain a ticket first
  std::string Target;                 ///< explain: path and query
  std::string Host;                   ///< explain
  std::string Method;                 ///< explain
  std::string Account;                ///< explain; empty: without a key
};

} // namespace tarragon::ctl
