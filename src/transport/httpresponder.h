#pragma once

#include "global/types/time.h"

#include <memory>
#include <optional>
#include <string>

namespace tarragon::transport {

/// Sends the response to one request, at most once; may be used from any
/// thread. If it is destroyed without a response, it sends status 500, so that
/// the client does not wait until its timeout.
class http_responder {
public:
  class channel;

  explicit http_responder(std::unique_ptr<channel> Channel);
  http_responder(http_responder &&) noexcept;
  auto operator=(http_responder &&) noexcept -> http_responder &;
  ~http_responder();

  /// Sends the response; further calls are ignored. A failure to send is
  /// logged. \p RetryAfter is sent as a header.
  auto send(int Status, const std::string &Body,
            const char *MimeType = "application/json",
            std::optional<milliseconds> RetryAfter = {}) -> void;

private:
  std::unique_ptr<channel> Channel;
};

} // namespace tarragon::transport
