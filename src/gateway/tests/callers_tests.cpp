#include "gateway/tests/gatewaycase.h"

#include <algorithm>
#include <random>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

/// \p Bytes with a few of them changed.
auto mutated(std::string Bytes, std::mt19937_64 &Random) -> std::string {
  for (int Change = 0; Change < 3; ++Change)
    Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
  return Bytes;
}

} // namespace

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

// Whatever callers send, the next one is served.
BOOST_AUTO_TEST_CASE(foreign_bytes_of_callers_harm_no_other) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{good(Request, "x")};
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

// Whatever a target sends, its caller gets a whole answer of the tier's own.
BOOST_AUTO_TEST_CASE(foreign_bytes_of_targets_make_no_odd_answers) {
  gateway_case Case;
  std::mt19937_64 Random(31);
  Case.target("t0", "s0", [&Random](const std::string &Request) {
    return scripted_server::reaction{mutated(good(Request, "x"), Random), true};
  });
  Case.routes();
  for (int Round = 0; Round < 200; ++Round) {
    const std::string Status = status(Case.get("/one/1"));
    // A status of the target's own passes; else it is the tier's.
    BOOST_TEST(Status.size() == 3U);
    BOOST_TEST(std::all_of(Status.begin(), Status.end(),
                           [](const char C) { return C >= '0' && C <= '9'; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
