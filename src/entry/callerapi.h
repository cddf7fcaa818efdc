#pragma once

#include "transport/httpresponder.h"
#include "transport/types/httprequest.h"

namespace tarragon::entry {

class entry;

/// What callers may ask: addresses, tickets, queries. docs/API.md is the
/// reference.
class caller_api {
public:
  explicit caller_api(entry &Entry) : Entry(Entry) {}

  auto handle(transport::http_request Request,
              transport::http_responder Responder) -> void;

private:
  auto addresses(const transport::http_request &Request,
                 transport::http_responder &Responder) -> void;
  auto tickets(const transport::http_request &Request,
               transport::http_responder &Responder) -> void;
  auto query(const transport::http_request &Request,
             transport::http_responder Responder) -> void;

  entry &Entry;
};

} // namespace tarragon::entry
