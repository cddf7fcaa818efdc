#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::ctl {

/// What the tool can do.
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
  Help
};

enum class output_format { Table, Json };

/// One run of the tool, as read from its command line and environment.
struct ctl_options {
  command Command = command::Help;
  output_format Output = output_format::Table;
  milliseconds Timeout{10000};
  std::vector<address> Entries;
  std::string Token;
  std::string File;                   ///< validate, plan, apply
  std::string Operator;               ///< apply
  std::string ChangeId;               ///< apply; empty: make one
  std::optional<config_version> Base; ///< apply; none: the one in force
  failure_domain Domain;              ///< entries
  contract_id Contract;               ///< query
  std::string Body;                   ///< query
  std::string Key;                    ///< query
  std::string Continuation;           ///< query
  bool Once = false;                  ///< query: take a ticket first
};

} // namespace tarragon::ctl
