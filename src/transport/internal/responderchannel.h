#pragma once

#include "transport/httpresponder.h"

#include <pistache/http.h>

namespace tarragon::transport {

/// Holds the Pistache response writer until the response is sent.
class http_responder::channel {
public:
  explicit channel(Pistache::Http::ResponseWriter Writer)
      : Writer(std::move(Writer)) {}

  auto send(int Status, const std::string &Body, const char *MimeType,
            std::optional<milliseconds> RetryAfter) -> void;

private:
  Pistache::Http::ResponseWriter Writer;
};

} // namespace tarragon::transport
