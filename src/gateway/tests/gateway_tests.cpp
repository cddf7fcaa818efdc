#include "gateway/callersession.h"
#include "gateway/gateway.h"
#include "gateway/httpserver.h"
#include "gateway/tests/scriptedpeer.h"
#include "global/hash.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;

namespace {

namespace asio = boost::asio;

auto freePort(asio::io_context &Loop) -> std::uint16_t {
  asio::ip::tcp::acceptor Probe(Loop, {asio::ip::address_v4::loopback(), 0});
  return Probe.local_endpoint().port();
}

auto names() -> header_names {
  return {"Id", "Left", "For", "Stamp", "Not-Run", "Stamps", "Missing"};
}

auto value(const std::string &Message, const std::string &Name) -> std::string {
  const auto At = Message.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "none";
  const auto Begin = At + Name.size() + 4;
  return Message.substr(Begin, Message.find("\r\n", Begin) - Begin);
}

auto good(const std::string &Request, const std::string &Body) -> std::string {
  return "HTTP/1.1 200 OK\r\nId: " + value(Request, "Id") + "\r\nStamp: st-" +
         value(Request, "For") + "\r\nKept: a\r\nKept: b\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A gateway with a caller's side, and targets that react as told.
struct gateway_case {
  gateway_case()
      : Gateway(Loop, {names(), "zone", {0.2, 50, milliseconds(10000), 1}},
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
    Entry.Born = 1;
    Gateway.applyTargets(Gateway.targets().book().put(Entry));
    return *Targets.back();
  }

  auto
  routes(const route::repeatability Repeat = route::repeatability::Idempotent)
      -> void {
    auto Set = std::make_shared<route::route_set>();
    Set->Version = 7;
    Set->Limits.HeaderBytes = 2000;
    Set->Limits.BodyBytes = 100;
    route::route Single;
    Single.Name = "one";
    Single.Host = "h.example";
    Single.Prefix = "/one/";
    Single.Services = {{"s0", 1}};
    Single.Repeat = Repeat;
    Single.Attempts = 2;
    Single.Timeout = 1000ms;
    Single.Objective = 800ms;
    route::route All = Single;
    All.Name = "all";
    All.Prefix = "/all/";
    All.Services.clear();
    All.Shards = {"s0", "s1"};
    All.TopRecords = 3;
    All.LeastShare = 0.5;
    All.Repeat = route::repeatability::Idempotent;
    Set->Routes = {Single, All};
    Server.setLimits(Set->Limits);
    Gateway.setRoutes(Set);
  }

  auto ask(const std::string &Request) -> std::string {
    scripted_caller Caller(Loop, Address);
    Caller.send(Request);
    BOOST_REQUIRE(runUntil(Loop, [&Caller] {
      const auto Head = Caller.received().find("\r\n\r\n");
      if (Head == std::string::npos)
        return false;
      const auto Length = value(Caller.received(), "Content-Length");
      return Caller.received().size() >=
             Head + 4 + std::strtoul(Length.c_str(), nullptr, 10);
    }));
    return Caller.received();
  }

  auto get(const std::string &Path, const std::string &More = "")
      -> std::string {
    return ask("GET " + Path + " HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n" +
               More + "\r\n");
  }

  asio::io_context Loop{1};
  report::metrics_registry Metrics;
  tarragon::gateway::gateway Gateway;
  http_server Server;
  asio::ip::tcp::endpoint Address;
  std::vector<std::unique_ptr<scripted_server>> Targets;
};

auto status(const std::string &Answer) -> std::string {
  return Answer.substr(9, 3);
}

auto body(const std::string &Answer) -> std::string {
  return Answer.substr(Answer.find("\r\n\r\n") + 4);
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests)

BOOST_AUTO_TEST_CASE(before_any_routes_a_request_is_refused_not_denied) {
  gateway_case Case;
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(value(Answer, "Retry-After") != "none");
}

BOOST_AUTO_TEST_CASE(an_unknown_path_is_not_found) {
  gateway_case Case;
  Case.routes();
  BOOST_TEST(status(Case.get("/else/1")) == "404");
}

BOOST_AUTO_TEST_CASE(a_request_passes_as_it_is) {
  gateway_case Case;
  auto &Target = Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{good(Request, "body")};
  });
  Case.routes();
  const auto Answer =
      Case.ask("POST /one/a%20b?c=d&e HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n"
               "Left: 500\r\nX: 1\r\nX: 2\r\nConnection: close, Gone\r\n"
               "Gone: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n0\r\n\r\n");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(body(Answer) == "body");
  BOOST_TEST(value(Answer, "Stamp") == "st-t0");
  BOOST_TEST(Answer.find("Kept: a\r\nKept: b") != std::string::npos);
  const std::string &Sent = Target.requests().back();
  BOOST_TEST(Sent.starts_with("POST /one/a%20b?c=d&e HTTP/1.1\r\n"));
  BOOST_TEST(Sent.ends_with("\r\n\r\nabc"));
  BOOST_TEST(Sent.find("X: 1\r\nX: 2\r\n") != std::string::npos);
  BOOST_TEST(value(Sent, "Gone") == "none");
  BOOST_TEST(value(Sent, "Connection") == "none");
  BOOST_TEST(value(Sent, "Content-Length") == "3");
  BOOST_TEST(value(Sent, "For") == "t0");
  const int Left = std::stoi(value(Sent, "Left"));
  BOOST_TEST(Left <= 500);
  BOOST_TEST(Left > 0);
}

BOOST_AUTO_TEST_CASE(parts_are_merged_and_counted) {
  gateway_case Case;
  const std::string Low(16, 'a');
  const std::string High(16, 'z');
  Case.target("t0", "s0", [&](const std::string &Request) {
    return scripted_server::reaction{good(Request, Low + High)};
  });
  Case.target("t1", "s1", [&](const std::string &Request) {
    return scripted_server::reaction{good(Request, High + "rest")};
  });
  Case.routes();
  const auto Answer = Case.get("/all/1");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(body(Answer) == High + High + Low);
  BOOST_TEST(value(Answer, "Stamps") == "st-t0, st-t1");
  BOOST_TEST(value(Answer, "Missing") == "0");
}

BOOST_AUTO_TEST_CASE(a_shard_without_targets_is_told_missing) {
  gateway_case Case;
  Case.target("t0", "s0", [&](const std::string &Request) {
    return scripted_server::reaction{good(Request, std::string(16, 'a'))};
  });
  Case.routes();
  const auto Answer = Case.get("/all/1");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(value(Answer, "Missing") == "1");
}

BOOST_AUTO_TEST_CASE(a_broken_run_of_a_request_for_once_is_not_repeated) {
  gateway_case Case;
  const auto Break = [](const std::string &) {
    return scripted_server::reaction{"", false, true};
  };
  auto &First = Case.target("t0", "s0", Break);
  auto &Second = Case.target("t1", "s0", Break);
  Case.routes(route::repeatability::NonIdempotent);
  BOOST_TEST(status(Case.get("/one/1")) == "502");
  BOOST_TEST(First.requests().size() + Second.requests().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_true_refusal_goes_to_another_target) {
  gateway_case Case;
  const auto Shed = [](const std::string &) {
    return scripted_server::reaction{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                                     "Content-Length: 0\r\n\r\n"};
  };
  auto &First = Case.target("t0", "s0", Shed);
  auto &Second = Case.target("t1", "s0", Shed);
  Case.routes(route::repeatability::NonIdempotent);
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(value(Answer, "Retry-After") != "none");
  BOOST_TEST(First.requests().size() == 1);
  BOOST_TEST(Second.requests().size() == 1);
}

// A target that accepts no connection: its queue is full, the opening packet
// is dropped, and the request waits unsent.
BOOST_AUTO_TEST_CASE(what_was_never_sent_is_told_as_not_run) {
  gateway_case Case;
  asio::ip::tcp::acceptor Full(Case.Loop);
  Full.open(asio::ip::tcp::v4());
  Full.bind({asio::ip::address_v4::loopback(), 0});
  Full.listen(0);
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Fillers;
  for (int Filler = 0; Filler < 4; ++Filler) {
    Fillers.push_back(std::make_unique<asio::ip::tcp::socket>(Case.Loop));
    Fillers.back()->async_connect(Full.local_endpoint(),
                                  [](const boost::system::error_code &) {});
  }
  Case.Loop.run_for(50ms);
  route::target_entry Entry;
  Entry.Id = "t0";
  Entry.Service = "s0";
  Entry.Ip = "127.0.0.1";
  Entry.Port = Full.local_endpoint().port();
  Entry.Born = 1;
  Case.Gateway.applyTargets(Case.Gateway.targets().book().put(Entry));
  Case.routes(route::repeatability::NonIdempotent);
  const auto Answer = Case.get("/one/1", "Left: 200\r\n");
  BOOST_TEST(status(Answer) == "503");
}

BOOST_AUTO_TEST_CASE(a_success_without_stamp_or_id_is_none) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &) {
    return scripted_server::reaction{
        "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 0\r\n\r\n"};
  });
  Case.routes();
  BOOST_TEST(status(Case.get("/one/1")) == "502");
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_work) {
  gateway_case Case;
  auto &Target = Case.target("t0", "s0", [](const std::string &) {
    return scripted_server::reaction{}; // never answers
  });
  Case.routes();
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("GET /one/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n\r\n");
  BOOST_REQUIRE(
      runUntil(Case.Loop, [&] { return Target.requests().size() == 1; }));
  Caller.close();
  BOOST_TEST(runUntil(Case.Loop, [&] { return Target.endedByPeer() == 1; }));
  BOOST_TEST(Case.Gateway.requestsAtHand() == 0);
}

BOOST_AUTO_TEST_CASE(a_lower_version_never_comes_into_force) {
  gateway_case Case;
  Case.routes();
  auto Older = std::make_shared<route::route_set>();
  Older->Version = 6;
  Case.Gateway.setRoutes(Older);
  BOOST_TEST(Case.Gateway.version() == 7);
}

// Answers that are lost on the way break runs as a crash does, but the target
// still takes connections: once such requests were held as harmful.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_no_crash) {
  gateway_case Case;
  for (const std::string Id : {"t0", "t1", "t2"})
    Case.target(Id, "s0", [](const std::string &) {
      return scripted_server::reaction{"", false, true};
    });
  Case.routes();
  for (int Try = 0; Try < 3; ++Try) {
    Case.get("/one/1");
    Case.Loop.run_for(10ms);
  }
  BOOST_TEST((Case.Gateway.poison().verdict(hash64("GET h.example/one/1\n"),
                                            std::chrono::steady_clock::now()) ==
              admission::poison_verdict::Clear));
}

BOOST_AUTO_TEST_CASE(a_target_gone_after_a_broken_run_has_crashed) {
  gateway_case Case;
  const auto Fingerprint = hash64("GET h.example/one/1\n");
  std::vector<scripted_server *> All;
  for (const std::string Id : {"t0", "t1", "t2", "t3"})
    All.push_back(&Case.target(Id, "s0", [&](const std::string &) {
      for (scripted_server *Server : All)
        Server->stopListening();
      return scripted_server::reaction{"", false, true};
    }));
  Case.routes();
  Case.get("/one/1");
  BOOST_TEST(runUntil(Case.Loop, [&] {
    return Case.Gateway.poison().verdict(Fingerprint,
                                         std::chrono::steady_clock::now()) !=
           admission::poison_verdict::Clear;
  }));
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_is_held) {
  gateway_case Case;
  std::vector<scripted_server *> All;
  for (const std::string Id : {"t0", "t1", "t2", "t3", "t4"})
    All.push_back(&Case.target(Id, "s0", [](const std::string &) {
      return scripted_server::reaction{"", false, true};
    }));
  Case.routes();
  for (const std::string Target : {"t0", "t1"})
    Case.Gateway.poison().recordCrash(
        {hash64("GET h.example/one/1\n"), Target, true, milliseconds(0)},
        std::chrono::steady_clock::now());
  BOOST_TEST(status(Case.get("/one/1")) == "503");
  for (const scripted_server *Target : All)
    BOOST_TEST(Target->requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(malformed_requests_are_told_so_and_end) {
  gateway_case Case;
  Case.routes();
  const std::vector<std::pair<std::string, std::string>> Wrong{
      {"GET /one/1 HTTP/1.1\r\nId: q\r\n\r\n", "400"},
      {"GET /one/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
      {"what\r\n\r\n", "400"},
      {"POST /one/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "413"},
      {"GET /one/1 HTTP/1.1\r\nHost: a\r\nX: " + std::string(3000, 'x') +
           "\r\n\r\n",
       "431"},
      {"POST /one/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST /one/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: odd\r\n\r\n",
       "400"}};
  for (const auto &[Request, Status] : Wrong) {
    scripted_caller Caller(Case.Loop, Case.Address);
    Caller.send(Request);
    BOOST_REQUIRE(runUntil(Case.Loop, [&Caller] { return Caller.ended(); }));
    BOOST_TEST(status(Caller.received()) == Status);
    BOOST_TEST(value(Caller.received(), "Connection") == "close");
  }
}

BOOST_AUTO_TEST_CASE(requests_sent_together_are_answered_in_order) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{good(Request, value(Request, "Id"))};
  });
  Case.routes();
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("GET /one/1 HTTP/1.1\r\nHost: h.example\r\nId: first\r\n\r\n"
              "GET /one/2 HTTP/1.1\r\nHost: h.example\r\nId: other\r\n\r\n");
  BOOST_REQUIRE(runUntil(
      Case.Loop, [&Caller] { return Caller.received().ends_with("other"); }));
  BOOST_TEST(Caller.received().find("\r\n\r\nfirst") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(after_the_stop_began_each_answer_is_the_last) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{good(Request, "x")};
  });
  Case.routes();
  Case.Server.beginEnding();
  BOOST_TEST(value(Case.get("/one/1"), "Connection") == "close");
}

BOOST_AUTO_TEST_CASE(what_cannot_be_done_before_the_end_is_refused) {
  gateway_case Case;
  Case.routes();
  Case.Gateway.endBy(std::chrono::steady_clock::now());
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(value(Answer, "Retry-After") != "none");
}

BOOST_AUTO_TEST_SUITE_END()
