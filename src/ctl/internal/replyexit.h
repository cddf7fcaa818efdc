#pragma once

#include "ctl/types/entryreply.h"
#include "ctl/types/exitcode.h"

#include <string>
#include <vector>

namespace tarragon::ctl {

/// How the tool ends after a reply to something that changes nothing.
auto exitAfterRead(const entry_reply &Reply) -> exit_code;

/// How it ends after the last reply to a query.
auto exitAfterQuery(const entry_reply &Reply) -> exit_code;

/// Whether another entry may do better, and this one ran nothing.
auto otherEntryMayServe(const entry_reply &Reply) -> bool;

/// The live entries of a status reply that have \p Version, or lack it.
struct spread_view {
  std::vector<std::string> Having;
  std::vector<std::string> Lacking;

  auto complete() const -> bool { return !Having.empty() && Lacking.empty(); }
};
auto readSpread(const Json::Value &Status, std::uint64_t Version)
    -> spread_view;

/// The names with commas between.
auto joined(const std::vector<std::string> &Names) -> std::string;

} // namespace tarragon::ctl
