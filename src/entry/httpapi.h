#pragma once

#include "global/result.h"
#include "global/types/time.h"
#include "transport/httpresponder.h"
#include "transport/types/httprequest.h"

#include <json/forwards.h>

#include <memory>

namespace tarragon::transport {
class http_server;
}

namespace tarragon::entry {

class admin_api;
class caller_api;
class entry;

/// HTTP server for callers, operators and metrics scrapers on the instance's
/// caller address.
class http_api {
public:
  explicit http_api(entry &Entry);
  ~http_api();

  auto start() -> result<void>;
  auto stop() -> void;

private:
  auto route(transport::http_request Request,
             transport::http_responder Responder) -> void;

  entry &Entry;
  std::unique_ptr<caller_api> Callers;
  std::unique_ptr<admin_api> Operators;
  std::unique_ptr<transport::http_server> Server;
};

/// Sends \p Body with the HTTP status that belongs to \p Code, and a header for
/// \p RetryAfter unless it is 0.
auto reply(transport::http_responder &Responder, result_code Code,
           const Json::Value &Body, milliseconds RetryAfter = {}) -> void;

/// Sends a body that holds only the code and detail of \p Failure.
auto refuse(transport::http_responder &Responder, const failure &Failure)
    -> void;

} // namespace tarragon::entry
