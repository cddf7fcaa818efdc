#pragma once

#include "bench/core/callrecord.h"

#include <string>
#include <vector>

namespace tarragon::bench {

/// Reads an answer of the caller API into \p Record. False when it is none.
auto readAnswer(const std::string &Body, call_record &Record) -> bool;

/// The answer of GET /v1/addresses.
struct address_list {
  std::vector<address> Addresses; ///< best first
  milliseconds Lifetime{0};
};

/// False when \p Body is no such answer or holds no address.
auto readAddresses(const std::string &Body, address_list &List) -> bool;

/// Reads items of an answer, of an instance's or a target's.
auto readItems(const std::string &Body, std::vector<item> &Items) -> bool;

} // namespace tarragon::bench
