#pragma once

#include "gateway/callersession.h"
#include "gateway/gateway.h"
#include "gateway/httpserver.h"
#include "gateway/tests/scriptedpeer.h"

#include <boost/asio/ip/address.hpp>
#include <boost/test/unit_test.hpp>

namespace tarragon::gateway::tests {

namespace asio = boost::asio;

inline auto freePort(asio::io_context &Loop) -> std::uint16_t {
  asio::ip::tcp::acceptor Probe(Loop, {asio::ip::address_v4::loopback(), 0});
  return Probe.local_endpoint().port();
}

inline auto headerNames() -> header_names {
  return {"Id",      "Left",    "For",     "Stamp",       "Not-Run",  "Stamps",
          "Missing", "Leaving", "App-Key", "App-Account", "Cold-For", "Load"};
}

inline auto headerValue(const std::string &Message, const std::string &Name)
    -> std::string {
  const auto At = Message.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "none";
  const auto Begin = At + Name.size() + 4;
  return Message.substr(Begin, Message.find("\r\n", Begin) - Begin);
}

inline auto successResponse(const std::string &Request, const std::string &Body)
    -> std::string {
  return "HTTP/1.1 200 OK\r\nId: " + headerValue(Request, "Id") +
         "\r\nStamp: st-" + headerValue(Request, "For") +
         "\r\nKept: a\r\nKept: b\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A gateway behind a caller-facing server, with scripted targets.
struct gateway_case {
  gateway_case()
      : Gateway(Loop,
                {headerNames(), "zone", {0.2, 50, milliseconds(10000), 1}},
                Metrics),
        Server(Loop,
               [this](const auto &Session, caller_request Request) {
                 Gateway.onRequest(Session, std::move(Request));
               }),
        Address(asio::ip::address_v4::loopback(), freePort(Loop)) {
    BOOST_REQUIRE(Server.listen(Address));
  }

  auto target(const std::string &Id, const std::string &Service,
              scripted_server::script Script) -> scripted_server & {
    Targets.push_back(
        std::make_unique<scripted_server>(Loop, std::move(Script)));
    route::target_entry Entry;
    Entry.Id = Id;
    Entry.Service = Service;
    Entry.Ip = "127.0.0.1";
    Entry.Port = Targets.back()->endpoint().port();
    Entry.StartedAtMs = 1;
    Gateway.applyTargets(Gateway.targets().registry().put(Entry));
    return *Targets.back();
  }

  static auto routeSet(const route::repeatability Repeatability =
                           route::repeatability::Idempotent)
      -> route::route_set {
    route::route_set Set;
    Set.Version = 7;
    Set.Limits.HeaderBytes = 2000;
    Set.Limits.BodyBytes = 100;
    route::route Single;
    Single.Name = "one";
    Single.Host = "h.example";
    Single.Prefix = "/one/";
    Single.Services = {{"s0", 1}};
    Single.Repeatability = Repeatability;
    Single.MaxAttempts = 2;
    Single.Timeout = milliseconds(1000);
    Single.Objective = milliseconds(800);
    route::route All = Single;
    All.Name = "all";
    All.Prefix = "/all/";
    All.Services.clear();
    All.Shards = {"s0", "s1"};
    All.TopRecords = 3;
    All.MinShardShare = 0.5;
    All.Repeatability = route::repeatability::Idempotent;
    Set.Routes = {Single, All};
    return Set;
  }

  auto routes(const route::repeatability Repeatability =
                  route::repeatability::Idempotent) -> void {
    setRoutes(routeSet(Repeatability));
  }

  auto setRoutes(route::route_set Set) -> void {
    Server.setLimits(Set.Limits);
    Gateway.setRoutes(std::make_shared<const route::route_set>(std::move(Set)));
  }

  auto sendAndReceive(const std::string &Request) -> std::string {
    scripted_caller Caller(Loop, Address);
    Caller.send(Request);
    BOOST_REQUIRE(runUntil(Loop, [&Caller] {
      const auto Head = Caller.received().find("\r\n\r\n");
      if (Head == std::string::npos)
        return false;
      const auto Length = headerValue(Caller.received(), "Content-Length");
      return Caller.received().size() >=
             Head + 4 + std::strtoul(Length.c_str(), nullptr, 10);
    }));
    return Caller.received();
  }

  auto get(const std::string &Path, const std::string &ExtraHeaders = "")
      -> std::string {
    return sendAndReceive("GET " + Path +
                          " HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n" +
                          ExtraHeaders + "\r\n");
  }

  asio::io_context Loop{1};
  report::metrics_registry Metrics;
  gateway Gateway;
  http_server Server;
  asio::ip::tcp::endpoint Address;
  std::vector<std::unique_ptr<scripted_server>> Targets;
};

inline auto status(const std::string &Answer) -> std::string {
  return Answer.substr(9, 3);
}

inline auto body(const std::string &Answer) -> std::string {
  return Answer.substr(Answer.find("\r\n\r\n") + 4);
}

} // namespace tarragon::gateway::tests
