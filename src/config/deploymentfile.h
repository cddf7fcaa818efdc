#pragma once

#include "config/types/configfault.h"
#include "world/types/deployment.h"

#include <string>
#include <string_view>
#include <vector>

namespace tarragon::config {

/// The result of parsing a file: a deployment, or the faults found.
struct parsed_file {
  deployment Deployment;
  std::vector<config_fault> Faults; ///< empty: the deployment is valid
};

/// Parses and validates a deployment file (YAML).
auto parseDeployment(std::string_view Text) -> parsed_file;

/// Returns the differences between two deployments, one line each, such as
/// "contract search: deadline 200ms -> 150ms".
auto diffDeployments(const deployment &Old, const deployment &New)
    -> std::vector<std::string>;

/// Returns the names of teams other than \p Team whose services or contracts
/// differ. A difference in the deployment-wide settings affects every team.
/// Returns no names when \p Team is empty.
auto foreignChanges(const deployment &Old, const deployment &New,
                    const team_id &Team) -> std::vector<std::string>;

} // namespace tarragon::config
