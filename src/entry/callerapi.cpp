#include "entry/callerapi.h"

#include "entry/answerjson.h"
#include "entry/entry.h"
#include "entry/httpapi.h"
#include "entry/requestjson.h"
#include "world/types/accountheaders.h"

#include <json/json.h>

#include <charconv>

namespace tarragon::entry {

namespace {

constexpr std::size_t MaxTicketsPerRequest = 1000;

/// Parses \p Text; returns nothing unless it is a number from 1 to
/// MaxTicketsPerRequest.
auto readCount(const std::string &Text) -> std::optional<std::size_t> {
  std::size_t Count = 0;
  const char *const Last = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(Text.data(), Last, Count);
  const bool IsNumber = Error == std::errc{} && End == Last;
  if (!IsNumber || Count == 0 || Count > MaxTicketsPerRequest)
    return std::nullopt;
  return Count;
}

auto addressesJson(const membership::address_answer &Answer) -> Json::Value {
  Json::Value Body;
  Body["lifetime_ms"] = Json::Int64{Answer.Lifetime.count()};
  Body["addresses"] = Json::Value(Json::arrayValue);
  for (const membership::ranked_address &Address : Answer.Addresses) {
    Json::Value Entry;
    Entry["instance"] = Address.Instance;
    Entry["address"] = Address.Address;
    Entry["failure_domain"] = Address.Domain;
    Body["addresses"].append(std::move(Entry));
  }
  return Body;
}

} // namespace

auto caller_api::handle(transport::http_request Request,
                        transport::http_responder Responder) -> void {
  if (Request.Method == "GET" && Request.Path == "/v1/addresses")
    return serveAddresses(Request, Responder);
  if (Request.Method == "POST" && Request.Path == "/v1/tickets")
    return serveTickets(Request, Responder);
  if (Request.Method == "POST" && Request.Path == "/v1/query")
    return serveQuery(Request, std::move(Responder));
  refuse(Responder,
         fail(result_code::NotFound, Request.Method + " " + Request.Path));
}

auto caller_api::serveAddresses(const transport::http_request &Request,
                                transport::http_responder &Responder) -> void {
  const auto Answer = Entry.addresses(Request.parameter("domain"));
  if (!Answer)
    return refuse(Responder, Answer.error());
  reply(Responder, result_code::Ok, addressesJson(Answer.value()));
}

auto caller_api::serveTickets(const transport::http_request &Request,
                              transport::http_responder &Responder) -> void {
  const auto Count = readCount(Request.parameter("count", "1"));
  if (!Count)
    return refuse(Responder, fail(result_code::MalformedRequest,
                                  "count must be from 1 to " +
                                      std::to_string(MaxTicketsPerRequest)));
  const auto Tickets = Entry.issueTickets(*Count);
  if (!Tickets)
    return refuse(Responder, Tickets.error());
  Json::Value Body;
  Body["tickets"] = Json::Value(Json::arrayValue);
  for (const std::string &Ticket : Tickets.value())
    Body["tickets"].append(Ticket);
  reply(Responder, result_code::Ok, Body);
}

auto caller_api::serveQuery(const transport::http_request &Request,
                            transport::http_responder Responder) -> void {
  auto Query = readRequest(Request.Body);
  if (!Query)
    return refuse(Responder, Query.error());
  for (const transport::http_header &Header : Request.Headers)
    if (Header.Name == ApiKeyHeader)
      Query.value().ApiKeys.push_back(Header.Value);
  const bool Forwarded = Request.parameter("forwarded") == "1";
  const auto SharedResponder =
      std::make_shared<transport::http_responder>(std::move(Responder));
  Entry.query(std::move(Query.value()), Forwarded,
              [SharedResponder](const query_answer &Answer) {
                reply(*SharedResponder, Answer.Code, answerJson(Answer),
                      Answer.RetryAfter);
              });
}

} // namespace tarragon::entry
