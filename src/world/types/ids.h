#pragma once

#include <cstdint>
#include <string>

namespace tarragon {

/// Names assigned by operators; unique within their kind in a deployment.
using instance_id = std::string;
using target_id = std::string;
using service_id = std::string;
using contract_id = std::string;
using group_id = std::string; ///< "<service>/<group>"
using team_id = std::string;
using failure_domain = std::string;

/// "host:port", where host is an IP address.
using address = std::string;

/// The version of an index; increases with each publication.
using index_version = std::uint64_t;

/// The version of the accepted configuration; 0: none.
using config_version = std::uint64_t;

/// The number of an instance's process lifetime, from start to exit. A
/// restarted instance has a greater one.
using incarnation = std::uint64_t;

/// Identifies one attempt to run a request on a target; unique in the
/// deployment:
/// "<instance>.<incarnation>.<counter>".
using attempt_id = std::string;

/// Identifies a request by its contract and body, independent of its caller.
using fingerprint = std::uint64_t;

} // namespace tarragon
