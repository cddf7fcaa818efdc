#include "gateway/tests/gatewaycase.h"

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

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

BOOST_AUTO_TEST_SUITE_END()
