#pragma once

#include "gateway/types/headerfield.h"

#include <string>
#include <string_view>

namespace tarragon::gateway {

/// How an exchange with a server ended.
enum class exchange_end {
  Complete, ///< a whole answer came
  NotSent,  ///< no byte of the request was sent
  Rejected, ///< sent, but the new connection ended before any answer
  Broken    ///< sent, but no whole answer came
};

/// A server's whole answer.
struct exchange_answer {
  unsigned Status = 0;
  std::string Reason;
  header_fields Headers;
  std::string Body;

  /// The first value of \p Name (case is ignored), or null.
  auto find(const std::string_view Name) const -> const std::string * {
    return findField(Headers, Name);
  }
};

} // namespace tarragon::gateway
