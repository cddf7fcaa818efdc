#pragma once

#include "ctl/types/entryreply.h"
#include "ctl/types/exitcode.h"

#include <string>
#include <vector>

namespace tarragon::ctl {

/// Returns the exit code after the reply to a call that reads only.
auto exitAfterRead(const entry_reply &Reply) -> exit_code;

/// Returns the exit code after the last reply to a query.
auto exitAfterQuery(const entry_reply &Reply) -> exit_code;

/// Returns whether the entry proved that it ran nothing and another entry may
/// be able to serve the query.
auto otherEntryMayServe(const entry_reply &Reply) -> bool;

/// The live and suspect entries of a status reply, by whether they have a
/// given version or a newer one in force.
struct rollout_view {
  std::vector<std::string> UpToDate;
  std::vector<std::string> Outdated;

  auto complete() const -> bool {
    return !UpToDate.empty() && Outdated.empty();
  }
};

/// Reads the rollout of \p Version from a status reply.
auto readRollout(const Json::Value &Status, std::uint64_t Version)
    -> rollout_view;

/// Joins the names by commas.
auto joinNames(const std::vector<std::string> &Names) -> std::string;

} // namespace tarragon::ctl
