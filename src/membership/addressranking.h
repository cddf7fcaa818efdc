#pragma once

#include "membership/types/addressanswer.h"
#include "world/types/instance.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragon::membership {

/// Maximum number of addresses in one answer, regardless of the number of
/// instances.
constexpr std::size_t MaxAddresses = 16;

/// Maximum number of addresses reserved for other failure domains, in case the
/// caller's own domain fails.
constexpr std::size_t MaxRemoteReserved = 4;

/// Ranks the members for a caller in \p CallerDomain (empty when unknown): Live
/// members of the caller's domain first, then other Live members, then Suspect
/// ones; Leaving and Dead ones are excluded. \p Spread picks the order within
/// each group, so that callers spread evenly. Returns at most MaxAddresses
/// addresses.
auto rankAddresses(const std::vector<instance> &Members,
                   const failure_domain &CallerDomain, std::uint64_t Spread,
                   milliseconds Lifetime) -> address_answer;

} // namespace tarragon::membership
