#pragma once

#include "bench/core/callrecord.h"

#include <string>
#include <vector>

namespace tarragon::bench {

/// Parses an answer of the caller API into \p Record. Returns false if
/// \p Body is malformed.
auto readAnswer(const std::string &Body, call_record &Record) -> bool;

/// The answer to GET /v1/addresses.
struct address_list {
  std::vector<address> Addresses; ///< in order of preference
  milliseconds Lifetime{0};
};

/// Parses an answer to GET /v1/addresses. Returns false if \p Body is malformed
/// or has no address.
auto readAddresses(const std::string &Body, address_list &List) -> bool;

/// Parses the items of an answer of an instance or a target. Returns false if
/// \p Body is malformed.
auto readItems(const std::string &Body, std::vector<item> &Items) -> bool;

} // namespace tarragon::bench
