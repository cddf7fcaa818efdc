#include "gateway/tests/gatewaycase.h"

#include "global/hash.h"

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

/// Targets of one service, each in the failure domain of its id.
struct domain_case : gateway_case {
  auto place(const std::string &Id, scripted_server::script Script,
             const std::string &Service = "s0") -> scripted_server & {
    scripted_server &Server = target(Id, Service, std::move(Script));
    moveToDomain(Id, Id);
    return Server;
  }

  auto moveToDomain(const std::string &Id, const std::string &Domain) -> void {
    route::target_registry &Registry = Gateway.targets().registry();
    route::target_entry Entry = *Registry.find(Id);
    Entry.FailureDomain = Domain;
    Gateway.applyTargets(Registry.put(Entry));
  }

  /// Adds a target in a domain of its own whose accept queue is full, so that
  /// no connection to it is established.
  auto placeFull(const std::string &Id) -> void {
    Full.open(asio::ip::tcp::v4());
    Full.bind({asio::ip::address_v4::loopback(), 0});
    Full.listen(0);
    for (int Filler = 0; Filler < 4; ++Filler) {
      Fillers.push_back(std::make_unique<asio::ip::tcp::socket>(Loop));
      Fillers.back()->async_connect(Full.local_endpoint(),
                                    [](const boost::system::error_code &) {});
    }
    Loop.run_for(50ms);
    route::target_entry Entry;
    Entry.Id = Id;
    Entry.Service = "s0";
    Entry.Ip = "127.0.0.1";
    Entry.Port = Full.local_endpoint().port();
    Entry.FailureDomain = Id;
    Entry.StartedAtMs = 1;
    Gateway.applyTargets(Gateway.targets().registry().put(Entry));
  }

  asio::ip::tcp::acceptor Full{Loop};
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Fillers;
};

auto succeed(const std::string &Request) -> scripted_server::reaction {
  return {successResponse(Request, "body")};
}

auto shed(const std::string &) -> scripted_server::reaction {
  return {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

auto neverAnswer(const std::string &) -> scripted_server::reaction {
  return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations)

// Kept connections, first attempts and connections opened in advance.
BOOST_AUTO_TEST_CASE(nothing_is_sent_to_an_evacuated_domain) {
  domain_case Case;
  auto &First = Case.place("a", succeed);
  Case.routes();
  for (int Request = 0; Request < 3; ++Request)
    Case.get("/one/1");
  BOOST_REQUIRE(First.requests().size() == 3U);
  auto &Second = Case.place("b", succeed);
  const auto Requests = First.requests().size();
  const int Accepted = First.accepted();
  Case.Gateway.setEvacuated({"a"});
  Case.Gateway.setServing({2, true});
  Case.Loop.run_for(1s); // connections are opened in advance within it
  for (int Request = 0; Request < 6; ++Request)
    BOOST_TEST(status(Case.get("/one/1")) == "200");
  BOOST_TEST(First.requests().size() == Requests);
  BOOST_TEST(First.accepted() == Accepted);
  BOOST_TEST(First.endedByPeer() == Accepted);
  BOOST_TEST(Second.requests().size() >= 6U);
  Case.Gateway.setEvacuated({"b"});
  BOOST_TEST(status(Case.get("/one/1")) == "200");
  BOOST_TEST(First.requests().size() == Requests + 1);
}

BOOST_AUTO_TEST_CASE(hedges_and_retries_avoid_an_evacuated_domain) {
  domain_case Case;
  auto &Evacuated = Case.place("a", succeed);
  auto &Silent = Case.place("b", neverAnswer);
  Case.routes();
  Case.Gateway.setEvacuated({"a"});
  BOOST_TEST(status(Case.get("/one/1", "Left: 300\r\n")) != "200");
  BOOST_TEST(Silent.requests().size() == 1U);
  domain_case Other;
  auto &OtherEvacuated = Other.place("a", succeed);
  Other.place("b", shed);
  Other.routes();
  Other.Gateway.setEvacuated({"a"});
  BOOST_TEST(status(Other.get("/one/1")) == "503");
  BOOST_TEST(Evacuated.accepted() + OtherEvacuated.accepted() == 0);
}

// The request was decided on before, and would be sent once the connection is
// established. Its deadline passes before connecting times out.
BOOST_AUTO_TEST_CASE(an_attempt_that_is_still_connecting_goes_elsewhere) {
  domain_case Case;
  Case.placeFull("a");
  Case.routes(route::repeatability::NonIdempotent);
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("GET /one/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n"
              "Left: 300\r\n\r\n");
  BOOST_REQUIRE(runUntil(
      Case.Loop, [&] { return Case.Gateway.requestsInFlight() == 1U; }));
  auto &Other = Case.place("b", succeed);
  Case.Gateway.setEvacuated({"a"});
  BOOST_REQUIRE(
      runUntil(Case.Loop, [&] { return !Caller.received().empty(); }));
  BOOST_TEST(status(Caller.received()) == "200");
  BOOST_TEST(Other.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_running_request_ends_as_it_would) {
  domain_case Case;
  Case.place("a", [&](const std::string &Request) {
    Case.Gateway.setEvacuated({"a"});
    return succeed(Request);
  });
  Case.routes(route::repeatability::NonIdempotent);
  BOOST_TEST(status(Case.get("/one/1")) == "200");
}

// After a broken run, a connection is opened to find out whether the target has
// crashed.
BOOST_AUTO_TEST_CASE(no_probe_is_sent_to_an_evacuated_domain) {
  domain_case Case;
  auto &Target = Case.place("a", [&](const std::string &) {
    Case.Gateway.setEvacuated({"a"});
    return scripted_server::reaction{"", false, true};
  });
  Case.routes(route::repeatability::NonIdempotent);
  BOOST_TEST(status(Case.get("/one/1")) == "502");
  Case.Loop.run_for(300ms);
  BOOST_TEST(Target.accepted() == 1);
  BOOST_TEST((Case.Gateway.poison().verdict(hash64("GET h.example/one/1\n"),
                                            std::chrono::steady_clock::now()) ==
              admission::poison_verdict::Clear));
}

BOOST_AUTO_TEST_CASE(a_query_without_a_usable_target_is_refused_as_not_run) {
  domain_case Case;
  auto &First = Case.place("a", succeed);
  auto &Second = Case.place("b", succeed, "s1");
  Case.routes();
  Case.Gateway.setEvacuated({"a", "b"});
  for (const std::string Path : {"/one/1", "/all/1"}) {
    const auto Answer = Case.get(Path);
    BOOST_TEST(status(Answer) == "503");
    BOOST_TEST(body(Answer) == "not run\n");
    BOOST_TEST(headerValue(Answer, "Retry-After") != "none");
  }
  BOOST_TEST(First.requests().size() + Second.requests().size() == 0U);
  // One of two shards is the minimum share of this route.
  Case.Gateway.setEvacuated({"b"});
  const auto Answer = Case.get("/all/1");
  BOOST_TEST(status(Answer) == "200");
  BOOST_TEST(headerValue(Answer, "Missing") == "1");
}

BOOST_AUTO_TEST_SUITE_END()
