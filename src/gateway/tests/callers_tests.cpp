#include "gateway/tests/gatewaycase.h"

#include <algorithm>
#include <random>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

/// Returns \p Bytes with up to three bytes replaced by random ones.
auto mutated(std::string Bytes, std::mt19937_64 &Random) -> std::string {
  for (int Change = 0; Change < 3; ++Change)
    Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
  return Bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(malformed_requests_get_an_error_and_a_closed_connection) {
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
    BOOST_TEST(headerValue(Caller.received(), "Connection") == "close");
  }
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{
        successResponse(Request, headerValue(Request, "Id"))};
  });
  Case.routes();
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("GET /one/1 HTTP/1.1\r\nHost: h.example\r\nId: first\r\n\r\n"
              "GET /one/2 HTTP/1.1\r\nHost: h.example\r\nId: other\r\n\r\n");
  BOOST_REQUIRE(runUntil(
      Case.Loop, [&Caller] { return Caller.received().ends_with("other"); }));
  BOOST_TEST(Caller.received().find("\r\n\r\nfirst") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(connections_close_after_the_next_answer_during_shutdown) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, "x")};
  });
  Case.routes();
  Case.Server.closeAfterAnswers();
  BOOST_TEST(headerValue(Case.get("/one/1"), "Connection") == "close");
}

BOOST_AUTO_TEST_CASE(requests_that_cannot_finish_before_the_stop_are_refused) {
  gateway_case Case;
  Case.routes();
  const auto Now = std::chrono::steady_clock::now();
  Case.Gateway.prepareStop({Now, Now});
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(headerValue(Answer, "Retry-After") != "none");
}

// The callers that follow the directory have left. One that still uses its
// connection is better off elsewhere than with an order of unknown fate.
BOOST_AUTO_TEST_CASE(a_late_order_that_may_run_at_the_stop_is_refused) {
  using namespace std::chrono_literals;
  for (const auto Repeatability : {route::repeatability::NonIdempotent,
                                   route::repeatability::Idempotent}) {
    const bool IsOrder = Repeatability == route::repeatability::NonIdempotent;
    gateway_case Case;
    auto &Target = Case.target("t0", "s0", [](const std::string &Request) {
      return scripted_server::reaction{successResponse(Request, "x")};
    });
    Case.routes(Repeatability); // its timeout is 1 s
    // Each request begins at the same distance from the end of the stop.
    const auto StopIn = [&Case](const milliseconds CallersGone) {
      const auto Now = std::chrono::steady_clock::now();
      Case.Gateway.prepareStop({Now + CallersGone, Now + 900ms});
    };
    StopIn(60s);
    BOOST_TEST(status(Case.get("/one/1")) == "200");
    StopIn(0s);
    BOOST_TEST(status(Case.get("/one/2")) == (IsOrder ? "503" : "200"));
    StopIn(0s);
    BOOST_TEST(status(Case.get("/one/3", "Left: 100\r\n")) == "200");
    BOOST_TEST(Target.requests().size() == (IsOrder ? 2U : 3U));
  }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_stop_answers_every_request) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &) {
    return scripted_server::reaction{}; // never answers
  });
  Case.target("t1", "s1", [](const std::string &Request) {
    return scripted_server::reaction{
        successResponse(Request, std::string(16, 'a'))};
  });
  Case.routes(route::repeatability::NonIdempotent);
  scripted_caller Order(Case.Loop, Case.Address);
  Order.send("GET /one/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n\r\n");
  scripted_caller Query(Case.Loop, Case.Address);
  Query.send("GET /all/1 HTTP/1.1\r\nHost: h.example\r\nId: q2\r\n\r\n");
  scripted_caller Unfinished(Case.Loop, Case.Address);
  Unfinished.send("POST /one/1 HTTP/1.1\r\nHost: h.example\r\n");
  Case.Loop.run_for(std::chrono::milliseconds(50));
  Case.Gateway.endRequests();
  Case.Server.refuseUnfinished();
  BOOST_TEST(Case.Gateway.requestsInFlight() == 0U);
  BOOST_REQUIRE(runUntil(Case.Loop, [&] { return !Case.Server.isBusy(); }));
  Case.Loop.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(status(Order.received()) == "504");
  BOOST_TEST(status(Query.received()) == "200");
  BOOST_TEST(headerValue(Query.received(), "Missing") == "1");
  BOOST_TEST(status(Unfinished.received()) == "503");
  BOOST_TEST(headerValue(Unfinished.received(), "Retry-After") == "0");
}

// A version changes a limit while connections are kept. Guards against requests
// that are judged by the version that was in force when the answer before them
// was sent.
BOOST_AUTO_TEST_CASE(a_request_on_a_kept_connection_has_the_limits_in_force) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, "x")};
  });
  Case.routes();
  route::caller_limits Small = Case.Server.limits();
  route::caller_limits Large = Small;
  Large.HeaderBytes = 8000;
  Large.BodyBytes = 500;
  const auto Post = [](const std::string &Id, const std::size_t HeaderBytes,
                       const std::size_t BodyBytes) {
    return "POST /one/1 HTTP/1.1\r\nHost: h.example\r\nId: " + Id +
           "\r\nX: " + std::string(HeaderBytes, 'h') +
           "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
           std::string(BodyBytes, 'b');
  };
  const auto Answers = [](const scripted_caller &Caller) {
    std::vector<std::string> Found;
    const std::string &Text = Caller.received();
    for (auto At = Text.find("HTTP/1.1 "); At != std::string::npos;
         At = Text.find("HTTP/1.1 ", At + 1))
      Found.push_back(Text.substr(At + 9, 3));
    return Found;
  };
  const auto Expect = [&](const scripted_caller &Caller,
                          const std::vector<std::string> &Statuses) {
    BOOST_TEST(runUntil(
        Case.Loop, [&] { return Answers(Caller).size() == Statuses.size(); }));
    BOOST_TEST(Answers(Caller) == Statuses, boost::test_tools::per_element());
  };
  scripted_caller Body(Case.Loop, Case.Address);
  scripted_caller Header(Case.Loop, Case.Address);
  scripted_caller Lowered(Case.Loop, Case.Address);
  scripted_caller Begun(Case.Loop, Case.Address);
  for (scripted_caller *Caller : {&Body, &Header, &Lowered, &Begun}) {
    Caller->send(Post("a", 1, 1));
    Expect(*Caller, {"200"});
  }
  Case.Server.setLimits(Large);
  Body.send(Post("b", 1, 400));
  Expect(Body, {"200", "200"});
  Header.send(Post("b", 6000, 1));
  Expect(Header, {"200", "200"});
  const std::string Whole = Post("b", 1, 400);
  Begun.send(Whole.substr(0, Whole.size() - 100));
  Case.Loop.run_for(std::chrono::milliseconds(50));
  Case.Server.setLimits(Small);
  Begun.send(Whole.substr(Whole.size() - 100));
  Expect(Begun, {"200", "200"});
  Lowered.send(Post("b", 1, 400));
  Expect(Lowered, {"200", "413"});
  Body.send(Post("c", 6000, 1));
  Expect(Body, {"200", "200", "431"});
}

// Guards against arbitrary bytes from one caller that break the server for the
// next one.
BOOST_AUTO_TEST_CASE(random_bytes_from_callers_do_not_affect_others) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, "x")};
  });
  Case.routes();
  std::mt19937_64 Random(29);
  const std::string Request = "POST /one/1 HTTP/1.1\r\nHost: h.example\r\n"
                              "Id: q\r\nLeft: 300\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int Round = 0; Round < 300; ++Round) {
    scripted_caller Caller(Case.Loop, Case.Address);
    Caller.send(mutated(Request, Random));
    Case.Loop.poll();
    Caller.close();
  }
  BOOST_TEST(status(Case.get("/one/1")) == "200");
}

// Guards against arbitrary bytes from a target that reach the caller as a
// malformed answer.
BOOST_AUTO_TEST_CASE(random_bytes_from_targets_yield_wellformed_answers) {
  gateway_case Case;
  std::mt19937_64 Random(31);
  Case.target("t0", "s0", [&Random](const std::string &Request) {
    return scripted_server::reaction{
        mutated(successResponse(Request, "x"), Random), true};
  });
  Case.routes();
  for (int Round = 0; Round < 200; ++Round) {
    const std::string Status = status(Case.get("/one/1"));
    // The status of a well-formed response is forwarded; otherwise the gateway
    // sets one.
    BOOST_TEST(Status.size() == 3U);
    BOOST_TEST(std::all_of(Status.begin(), Status.end(),
                           [](const char C) { return C >= '0' && C <= '9'; }));
  }
}

// The head and the first bytes of the body arrive together.
BOOST_AUTO_TEST_CASE(a_body_announced_too_long_is_refused) {
  for (const std::string Length :
       {"101", "99999999999", "9999999999999999999"}) {
    gateway_case Case;
    Case.routes();
    const auto Answer = Case.sendAndReceive(
        "POST /one/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n"
        "Content-Length: " +
        Length + "\r\n\r\nbody");
    BOOST_TEST(status(Answer) == "413");
  }
}

BOOST_AUTO_TEST_SUITE_END()
