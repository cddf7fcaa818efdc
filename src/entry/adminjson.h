#pragma once

#include "config/types/acceptedconfig.h"
#include "config/types/applyoutcome.h"
#include "config/types/configfault.h"
#include "entry/types/entrystatus.h"
#include "query/types/pinnedsnapshot.h"
#include "report/types/burnrow.h"

#include <json/forwards.h>

#include <map>

namespace tarragon::entry {

/// Encoders for the response bodies of the admin API.
auto statusJson(const entry_status &Status) -> Json::Value;
auto burnJson(const report::burn_report &Report) -> Json::Value;
auto configJson(const config::accepted_config &Config) -> Json::Value;
auto faultsJson(result_code Code,
                const std::vector<config::config_fault> &Faults) -> Json::Value;
auto planJson(config_version Base, const std::vector<std::string> &Differences)
    -> Json::Value;
auto applyJson(const config::apply_outcome &Outcome) -> Json::Value;
auto snapshotsJson(const config::accepted_config &Config,
                   const std::map<contract_id, query::pinned_snapshot> &Pinned)
    -> Json::Value;

} // namespace tarragon::entry
