#include "entry/httpapi.h"

#include "entry/adminapi.h"
#include "entry/answerjson.h"
#include "entry/callerapi.h"
#include "entry/entry.h"
#include "global/json.h"
#include "transport/httpserver.h"
#include "world/types/accountheaders.h"

#include <json/json.h>

namespace tarragon::entry {

namespace {

/// Maximum body of any request, including an operator's deployment file in
/// JSON. The HTTP server itself rejects a larger one, without a result code.
constexpr std::size_t MaxRequestBytes = 16777216;

} // namespace

http_api::http_api(entry &Entry)
    : Entry(Entry), Callers(std::make_unique<caller_api>(Entry)),
      Operators(std::make_unique<admin_api>(Entry)),
      Server(std::make_unique<transport::http_server>(
          transport::http_server_settings{Entry.settings().Self.CallerAddress,
                                          Entry.settings().CallerThreads,
                                          MaxRequestBytes,
                                          {ApiKeyHeader}})) {}

http_api::~http_api() = default;

auto http_api::start() -> result<void> {
  return Server->start([this](transport::http_request Request,
                              transport::http_responder Responder) {
    route(std::move(Request), std::move(Responder));
  });
}

auto http_api::stop() -> void { Server->stop(); }

auto http_api::route(transport::http_request Request,
                     transport::http_responder Responder) -> void {
  if (Request.Path.starts_with("/admin/"))
    return Operators->handle(std::move(Request), std::move(Responder));
  if (Request.Path == "/metrics")
    return Responder.send(200, Entry.exposition(), "text/plain");
  if (Request.Body.size() > Entry.settings().MaxBodyBytes)
    return refuse(Responder,
                  fail(result_code::BodyTooLarge,
                       std::to_string(Request.Body.size()) + " bytes"));
  Callers->handle(std::move(Request), std::move(Responder));
}

auto reply(transport::http_responder &Responder, const result_code Code,
           const Json::Value &Body, const milliseconds RetryAfter) -> void {
  std::optional<milliseconds> Header;
  if (RetryAfter.count() > 0)
    Header = RetryAfter;
  Responder.send(resultRow(Code).HttpStatus, writeJson(Body),
                 "application/json", Header);
}

auto refuse(transport::http_responder &Responder, const failure &Failure)
    -> void {
  reply(Responder, Failure.Code, resultJson(Failure.Code, Failure.Detail));
}

} // namespace tarragon::entry
