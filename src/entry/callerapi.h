#pragma once

#include "transport/httpresponder.h"
#include "transport/types/httprequest.h"

namespace tarragon::entry {

class entry;

/// The caller API over HTTP: addresses, tickets and queries. docs/API.md is the
/// reference.
class caller_api {
public:
  explicit caller_api(entry &Entry) : Entry(Entry) {}

  auto handle(transport::http_request Request,
              transport::http_responder Responder) -> void;

private:
  auto serveAddresses(const transport::http_request &Request,
                      transport::http_responder &Responder) -> void;
  auto serveTickets(const transport::http_request &Request,
                    transport::http_responder &Responder) -> void;
  auto serveQuery(const transport::http_request &Request,
                  transport::http_responder Responder) -> void;

  entry &Entry;
};

} // namespace tarragon::entry
