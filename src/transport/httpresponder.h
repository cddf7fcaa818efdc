#pragma once

#include <memory>
#include <string>

namespace tarragon::transport {

/// Answers one request, once, from any thread. Dropped unanswered, it answers
/// 500 itself, so that no caller waits for ever.
class http_responder {
public:
  class channel;

  explicit http_responder(std::unique_ptr<channel> Channel);
  http_responder(http_responder &&) noexcept;
  auto operator=(http_responder &&) noexcept -> http_responder &;
  ~http_responder();

  auto send(int Status, const std::string &Body,
            const char *MimeType = "application/json") -> void;

private:
  std::unique_ptr<channel> Channel;
};

} // namespace tarragon::transport
