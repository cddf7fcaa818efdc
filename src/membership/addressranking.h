#pragma once

#include "membership/types/addressanswer.h"
#include "world/types/instance.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragon::membership {

/// The most addresses of one answer, however many instances there are.
constexpr std::size_t MostAddresses = 16;

/// So many of them stay free for other domains, against the loss of the
/// caller's own.
constexpr std::size_t MostFarReserved = 4;

/// Ranks the Live members for a caller in \p CallerDomain (empty when not
/// told): own domain first, then by a rotation that \p Spread picks, so that
/// callers spread evenly; Suspect ones last; Leaving and Dead ones never. At
/// most MostAddresses of them.
auto rankAddresses(const std::vector<instance> &Members,
                   const failure_domain &CallerDomain, std::uint64_t Spread,
                   milliseconds Lifetime) -> address_answer;

} // namespace tarragon::membership
