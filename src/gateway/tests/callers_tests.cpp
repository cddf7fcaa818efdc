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
  Case.Gateway.refuseAfter(std::chrono::steady_clock::now());
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(headerValue(Answer, "Retry-After") != "none");
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
