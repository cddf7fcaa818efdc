#pragma once

#include "config/types/configfault.h"

#include <json/forwards.h>

#include <string>
#include <vector>

namespace tarragon::ctl {

/// Formats the faults of a file, one per line:
/// "FILE:line:column: code: detail".
auto faultsText(const std::string &File,
                const std::vector<config::config_fault> &Faults) -> std::string;

/// Each formats a reply of the admin API, the caller API or tarragon-entry's
/// status page as text for a terminal.
auto statusText(const Json::Value &Body) -> std::string;
auto entriesText(const Json::Value &Body) -> std::string;
auto snapshotsText(const Json::Value &Body) -> std::string;
auto burnText(const Json::Value &Body) -> std::string;
auto targetsText(const Json::Value &Body) -> std::string;
auto accountsText(const Json::Value &Body) -> std::string;
auto explanationText(const Json::Value &Body) -> std::string;
auto planText(const Json::Value &Body) -> std::string;
auto applyText(const Json::Value &Body) -> std::string;
auto queryText(const Json::Value &Body) -> std::string;

} // namespace tarragon::ctl
