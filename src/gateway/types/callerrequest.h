#pragma once

#include "gateway/types/headerfield.h"
#include "global/types/time.h"

#include <cstdint>
#include <string>

namespace tarragon::gateway {

/// A whole request as a caller sent it.
struct caller_request {
  std::string Method;
  std::string Target; ///< path and query, byte for byte
  std::string Host;
  header_fields Headers;
  std::string Body;
  bool HasBody = false; ///< also one of no bytes
  time_point ReceivedAt;
};

/// What makes a request the same one when it comes again.
auto fingerprintOf(const caller_request &Request) -> std::uint64_t;

/// An answer to a caller.
struct caller_answer {
  unsigned Status = 200;
  std::string Reason;
  header_fields Headers;
  std::string Body;
  bool BodyOmitted = false; ///< of an answer to HEAD: its length is a header
};

} // namespace tarragon::gateway
