#pragma once

#include "config/types/configfault.h"
#include "world/types/deployment.h"

#include <string>
#include <string_view>
#include <vector>

namespace tarragon::config {

/// What came of reading a file: a deployment, or every fault found.
struct parsed_file {
  deployment Deployment;
  std::vector<config_fault> Faults; ///< empty: the deployment is valid
};

/// Reads and checks the whole of a declarative file (YAML).
auto parseDeployment(std::string_view Text) -> parsed_file;

/// What differs between two deployments, one sentence a difference, such as
/// "contract search: deadline 200ms -> 150ms".
auto diffDeployments(const deployment &Old, const deployment &New)
    -> std::vector<std::string>;

/// Names of teams other than \p Team whose services or contracts would change;
/// a change of the settings above all services concerns every team. Nothing
/// when \p Team is empty.
auto foreignChanges(const deployment &Old, const deployment &New,
                    const team_id &Team) -> std::vector<std::string>;

} // namespace tarragon::config
