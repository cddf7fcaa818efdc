#pragma once

#include "gateway/receivebudget.h"
#include "gateway/types/headerfield.h"

#include <memory>
#include <string>
#include <string_view>

namespace tarragon::gateway {

/// Outcome of an HTTP exchange with a server.
enum class exchange_end {
  Complete, ///< a complete response was received
  NotSent,  ///< no byte of the request was sent
  Rejected, ///< sent, but a new connection closed before any response
  Broken,   ///< sent, but no complete response was received
  TooLong   ///< sent, but the response exceeds a limit of this side
};

/// A complete HTTP response from a server.
struct exchange_answer {
  unsigned Status = 0;
  std::string Reason;
  header_fields Headers;
  std::string Body;
  /// Keeps the bytes of the answer counted while it exists; may be null.
  std::shared_ptr<receive_budget::lease> Memory;

  /// Returns the first value of header \p Name (case-insensitive), or null.
  auto find(const std::string_view Name) const -> const std::string * {
    return findField(Headers, Name);
  }
};

} // namespace tarragon::gateway
