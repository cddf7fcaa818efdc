#include "gateway/tests/gatewaycase.h"

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

BOOST_AUTO_TEST_SUITE(requests)

BOOST_AUTO_TEST_CASE(without_routes_a_request_is_refused_with_retry_after) {
  gateway_case Case;
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(headerValue(Answer, "Retry-After") != "none");
}

BOOST_AUTO_TEST_CASE(an_unknown_path_is_not_found) {
  gateway_case Case;
  Case.routes();
  BOOST_TEST(status(Case.get("/else/1")) == "404");
}

BOOST_AUTO_TEST_CASE(a_request_is_forwarded_unchanged) {
  gateway_case Case;
  auto &Target = Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, "body")};
  });
  Case.routes();
  const auto Answer = Case.sendAndReceive(
      "POST /one/a%20b?c=d&e HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n"
      "Left: 500\r\nX: 1\r\nX: 2\r\nConnection: close, Gone\r\n"
      "Gone: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(body(Answer) == "body");
  BOOST_TEST(headerValue(Answer, "Stamp") == "st-t0");
  BOOST_TEST(Answer.find("Kept: a\r\nKept: b") != std::string::npos);
  const std::string &Sent = Target.requests().back();
  BOOST_TEST(Sent.starts_with("POST /one/a%20b?c=d&e HTTP/1.1\r\n"));
  BOOST_TEST(Sent.ends_with("\r\n\r\nabc"));
  BOOST_TEST(Sent.find("X: 1\r\nX: 2\r\n") != std::string::npos);
  BOOST_TEST(headerValue(Sent, "Gone") == "none");
  BOOST_TEST(headerValue(Sent, "Connection") == "none");
  BOOST_TEST(headerValue(Sent, "Content-Length") == "3");
  BOOST_TEST(headerValue(Sent, "For") == "t0");
  const int Left = std::stoi(headerValue(Sent, "Left"));
  BOOST_TEST(Left <= 500);
  BOOST_TEST(Left > 0);
}

BOOST_AUTO_TEST_CASE(parts_are_merged_and_counted) {
  gateway_case Case;
  const std::string Low(16, 'a');
  const std::string High(16, 'z');
  Case.target("t0", "s0", [&](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, Low + High)};
  });
  Case.target("t1", "s1", [&](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, High + "rest")};
  });
  Case.routes();
  const auto Answer = Case.get("/all/1");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(body(Answer) == High + High + Low);
  BOOST_TEST(headerValue(Answer, "Stamps") == "st-t0, st-t1");
  BOOST_TEST(headerValue(Answer, "Missing") == "0");
}

BOOST_AUTO_TEST_CASE(a_shard_without_targets_is_counted_as_missing) {
  gateway_case Case;
  Case.target("t0", "s0", [&](const std::string &Request) {
    return scripted_server::reaction{
        successResponse(Request, std::string(16, 'a'))};
  });
  Case.routes();
  const auto Answer = Case.get("/all/1");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(headerValue(Answer, "Missing") == "1");
}

BOOST_AUTO_TEST_CASE(a_broken_run_of_a_non_idempotent_request_is_not_retried) {
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

BOOST_AUTO_TEST_CASE(a_request_proven_not_run_is_retried_at_another_target) {
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
  BOOST_TEST(headerValue(Answer, "Retry-After") != "none");
  BOOST_TEST(First.requests().size() == 1);
  BOOST_TEST(Second.requests().size() == 1);
}

// The target's accept queue is full: the kernel drops the SYN packets, and the
// request is never sent.
BOOST_AUTO_TEST_CASE(a_request_never_sent_is_answered_as_not_run) {
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
  Entry.StartedAtMs = 1;
  Case.Gateway.applyTargets(Case.Gateway.targets().registry().put(Entry));
  Case.routes(route::repeatability::NonIdempotent);
  const auto Answer = Case.get("/one/1", "Left: 200\r\n");
  BOOST_TEST(status(Answer) == "503");
}

BOOST_AUTO_TEST_CASE(a_success_without_a_stamp_is_rejected) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &) {
    return scripted_server::reaction{
        "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 0\r\n\r\n"};
  });
  Case.routes();
  BOOST_TEST(status(Case.get("/one/1")) == "502");
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_cancels_its_request) {
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
  BOOST_TEST(Case.Gateway.requestsInFlight() == 0);
}

BOOST_AUTO_TEST_CASE(a_lower_version_is_never_activated) {
  gateway_case Case;
  Case.routes();
  auto Older = std::make_shared<route::route_set>();
  Older->Version = 6;
  Case.Gateway.setRoutes(Older);
  BOOST_TEST(Case.Gateway.version() == 7);
}

BOOST_AUTO_TEST_CASE(a_target_that_says_it_leaves_gets_no_further_request) {
  gateway_case Case;
  auto &Leaving = Case.target("t0", "s0", [](const std::string &Request) {
    std::string Answer = successResponse(Request, "body");
    return scripted_server::reaction{
        Answer.insert(Answer.find("Id: "), "Leaving: 1\r\n")};
  });
  Case.routes();
  std::vector<std::string> Told;
  Case.Gateway.setLeavingHandler(
      [&Told](const std::string &Target, const std::int64_t StartedAtMs) {
        Told.push_back(Target + " " + std::to_string(StartedAtMs));
      });
  BOOST_TEST(status(Case.get("/one/1")) == "200");
  BOOST_TEST(status(Case.get("/one/2")) == "503");
  BOOST_TEST(Leaving.requests().size() == 1U);
  BOOST_REQUIRE(Told.size() == 1U);
  BOOST_TEST(Told[0] == "t0 1");
}

BOOST_AUTO_TEST_CASE(a_target_that_asks_for_a_pause_gets_no_request) {
  for (const std::string Text : {"7", "7.5", "99999999999999999999"}) {
    gateway_case Case;
    auto &Target = Case.target("t0", "s0", [&](const std::string &) {
      return scripted_server::reaction{
          "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nRetry-After: " + Text +
          "\r\nContent-Length: 0\r\n\r\n"};
    });
    Case.routes();
    BOOST_TEST(status(Case.get("/one/1")) == "503");
    const auto Answer = Case.get("/one/2");
    BOOST_TEST(status(Answer) == "503");
    BOOST_TEST(std::stod(headerValue(Answer, "Retry-After")) > 6.0);
    BOOST_TEST(std::stod(headerValue(Answer, "Retry-After")) < 100.0);
    BOOST_TEST(Target.requests().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_meaningless_pause_is_ignored) {
  for (const std::string Text : {"", "-5", "soon", "nan", "inf", "5 s",
                                 "Fri, 31 Dec 1999 23:59:59 GMT", "1e3"}) {
    gateway_case Case;
    auto &Target = Case.target("t0", "s0", [&](const std::string &) {
      return scripted_server::reaction{
          "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nRetry-After: " + Text +
          "\r\nContent-Length: 0\r\n\r\n"};
    });
    Case.routes();
    Case.get("/one/1");
    Case.get("/one/2");
    BOOST_TEST(Target.requests().size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_to_head_keeps_the_length) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &) {
    return scripted_server::reaction{
        "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: st\r\nContent-Length: 7\r\n\r\n"};
  });
  Case.routes();
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("HEAD /one/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n\r\n");
  BOOST_REQUIRE(runUntil(Case.Loop, [&Caller] {
    return Caller.received().find("\r\n\r\n") != std::string::npos;
  }));
  BOOST_TEST(headerValue(Caller.received(), "Content-Length") == "7");
  BOOST_TEST(Caller.received().ends_with("\r\n\r\n"));
}

// The machine is suspended while a request is under way. The steady clock
// stands still meanwhile, but the caller's time goes on.
BOOST_AUTO_TEST_CASE(a_suspension_uses_up_the_time_of_a_request) {
  gateway_case Case;
  auto &First = Case.target("t0", "s0", [](const std::string &) {
    return scripted_server::reaction{}; // never answers
  });
  auto &Second = Case.target("t1", "s0", [](const std::string &) {
    return scripted_server::reaction{};
  });
  Case.routes();
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("GET /one/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n"
              "Left: 900\r\n\r\n");
  BOOST_REQUIRE(runUntil(Case.Loop, [&] {
    return First.requests().size() + Second.requests().size() == 1;
  }));
  Case.Gateway.onSuspended(2s);
  BOOST_TEST(Case.Gateway.requestsInFlight() == 0U);
  BOOST_REQUIRE(
      runUntil(Case.Loop, [&Caller] { return !Caller.received().empty(); }));
  BOOST_TEST(status(Caller.received()) == "504");
  BOOST_TEST(First.requests().size() + Second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_short_suspension_leaves_the_rest_of_the_time) {
  gateway_case Case;
  auto &Target = Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, "body")};
  });
  Case.routes();
  Case.Gateway.onSuspended(2s);
  BOOST_TEST(status(Case.get("/one/1", "Left: 900\r\n")) == "200");
  BOOST_TEST(std::stoi(headerValue(Target.requests().back(), "Left")) > 500);
}

BOOST_AUTO_TEST_SUITE_END()
