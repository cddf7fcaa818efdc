#pragma once

#include "global/result.h"
#include "transport/httpresponder.h"
#include "transport/types/httprequest.h"
#include "world/types/ids.h"

#include <json/forwards.h>

namespace tarragon::entry {

class entry;

/// The operator API over HTTP. Every request requires the bearer token of a
/// team. docs/API.md is the reference.
class admin_api {
public:
  explicit admin_api(entry &Entry) : Entry(Entry) {}

  auto handle(transport::http_request Request,
              transport::http_responder Responder) -> void;

private:
  /// Returns the team of the request's bearer token, or Unauthorized.
  auto authenticate(const transport::http_request &Request) const
      -> result<team_id>;
  auto handleGet(const transport::http_request &Request,
                 transport::http_responder &Responder) -> void;
  auto handlePost(const transport::http_request &Request, const team_id &Team,
                  transport::http_responder Responder) -> void;
  auto validate(const Json::Value &Body, transport::http_responder &Responder)
      -> void;
  auto plan(const Json::Value &Body, transport::http_responder &Responder)
      -> void;
  auto apply(const Json::Value &Body, const team_id &Team,
             transport::http_responder Responder) -> void;

  entry &Entry;
};

} // namespace tarragon::entry
