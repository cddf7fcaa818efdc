#pragma once

#include "membership/types/addressanswer.h"
#include "world/types/instance.h"

#include <vector>

namespace tarragon::membership {

/// Ranks the Live members for a caller in \p CallerDomain (empty when not
/// told): own domain first, then by a rotation that \p Spread picks, so that
/// callers spread evenly; Suspect ones last; Leaving and Dead ones never.
auto rankAddresses(const std::vector<instance> &Members,
                   const failure_domain &CallerDomain, std::uint64_t Spread,
                   milliseconds Lifetime) -> address_answer;

} // namespace tarragon::membership
