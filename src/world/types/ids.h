#pragma once

#include <cstdint>
#include <string>

namespace tarragon {

/// Names given by operators; unique in a deployment within their kind.
using instance_id = std::string;
using target_id = std::string;
using service_id = std::string;
using contract_id = std::string;
using group_id = std::string; ///< "<service>/<group>"
using team_id = std::string;
using failure_domain = std::string;

/// "host:port", where host is an IP number.
using address = std::string;

/// A version of an index; grows with each publication.
using index_version = std::uint64_t;

/// The version of the accepted configuration; 0 is none.
using config_version = std::uint64_t;

/// A life of an instance. A restarted instance has a greater one.
using incarnation = std::uint64_t;

/// Identifies one attempt at a target; unique in the deployment:
/// "<instance>.<incarnation>.<counter>".
using attempt_id = std::string;

/// Identifies a request by its contract and body, not by its sender.
using fingerprint = std::uint64_t;

} // namespace tarragon
