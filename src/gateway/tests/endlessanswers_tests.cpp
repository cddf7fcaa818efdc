// Targets that send bytes that are no answer, without end.
#include "gateway/tests/gatewaycase.h"

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

const std::string Block(65536, 'x');

/// Answers that never end: in the head, in a body with or without a length, in
/// a chunk, in a chunk's extensions, in the trailers.
auto endlessAnswers() -> std::vector<scripted_server::reaction> {
  const std::string Head = "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: st\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"", false, false, Block},
          {"HTTP/1.1 200 OK\r\nLong: ", false, false, Block},
          {"HTTP/1.1 200 OK\r\n", false, false, "A: b\r\n"},
          {Head + "\r\n", false, false, Block},
          {Head + "Content-Length: 99999999999\r\n\r\n", false, false, Block},
          {Chunked + "ffffffffff\r\n", false, false, Block},
          {Chunked, false, false, "1\r\nx\r\n"},
          {Chunked + "1;", false, false, Block},
          {Chunked + "0\r\n", false, false, "A: " + Block + "\r\n"},
          {"", false, false, "HTTP/1.1 100 Continue\r\n\r\n"},
          {"", false, false,
           "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(endlessanswers)

BOOST_AUTO_TEST_CASE(the_request_is_served_by_another_target) {
  for (const scripted_server::reaction &Endless : endlessAnswers()) {
    BOOST_TEST_CONTEXT(Endless.Bytes + Endless.Pour.substr(0, 40)) {
      gateway_case Case;
      scripted_server *Pouring = nullptr;
      // Whichever target is asked first pours.
      const auto Script = [&](scripted_server *&Self) {
        return [&Pouring, &Self, &Endless](const std::string &Request) {
          if (!Pouring)
            Pouring = Self;
          return Pouring == Self ? Endless
                                 : scripted_server::reaction{
                                       successResponse(Request, "body")};
        };
      };
      scripted_server *First = nullptr;
      scripted_server *Second = nullptr;
      First = &Case.target("t0", "s0", Script(First));
      Second = &Case.target("t1", "s0", Script(Second));
      Case.routes();
      const auto Answer = Case.get("/one/1");
      BOOST_TEST(status(Answer) == "200");
      BOOST_TEST(body(Answer) == "body");
      BOOST_TEST(
          runUntil(Case.Loop, [&] { return Pouring->endedByPeer() >= 1; }));
      BOOST_TEST(Case.Gateway.memory().used() == 0U);
    }
  }
}

// Memory stays bounded over all connections, and a request to a target that
// answers isn't held up.
BOOST_AUTO_TEST_CASE(many_pouring_targets_do_not_use_up_the_memory) {
  constexpr std::size_t TargetCount = 100;
  constexpr std::size_t MaxUsed = 64 * 1024 * 1024;
  const std::string Head = "HTTP/1.1 200 OK\r\nId: q1\r\nStamp: st\r\n\r\n";
  gateway_case Case;
  auto Set = std::make_shared<route::route_set>();
  Set->Version = 8;
  Set->Limits.HeaderBytes = 2000;
  route::route All;
  All.Name = "all";
  All.Host = "h.example";
  All.Prefix = "/all/";
  All.TopRecords = 3;
  All.MinShardShare = 1;
  All.Repeatability = route::repeatability::Idempotent;
  All.MaxAttempts = 1;
  All.Timeout = milliseconds(3000);
  All.Objective = milliseconds(2000);
  for (std::size_t Number = 0; Number < TargetCount; ++Number) {
    const std::string Service = "p" + std::to_string(Number);
    All.Shards.push_back(Service);
    Case.target("t" + Service, Service, [&Head](const std::string &) {
      return scripted_server::reaction{Head, false, false, Block};
    });
  }
  route::route Single = All;
  Single.Name = "one";
  Single.Prefix = "/one/";
  Single.Shards.clear();
  Single.Services = {{"s0", 1}};
  Case.target("good", "s0", [](const std::string &Request) {
    return scripted_server::reaction{successResponse(Request, "body")};
  });
  Set->Routes = {All, Single};
  Case.Server.setLimits(Set->Limits);
  Case.Gateway.setRoutes(Set);
  scripted_caller Caller(Case.Loop, Case.Address);
  Caller.send("GET /all/1 HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n\r\n");
  std::size_t MostUsed = 0;
  const auto Record = [&] {
    MostUsed = std::max(MostUsed, Case.Gateway.memory().used());
  };
  BOOST_REQUIRE(runUntil(Case.Loop, [&] {
    Record();
    return MostUsed > 8 * 1024 * 1024;
  }));
  BOOST_TEST(body(Case.get("/one/1")) == "body");
  BOOST_TEST(runUntil(Case.Loop, [&] {
    Record();
    return !Caller.received().empty();
  }));
  BOOST_TEST(status(Caller.received()) == "502");
  BOOST_TEST(MostUsed < MaxUsed);
  BOOST_TEST(runUntil(Case.Loop, [&] {
    return std::all_of(
        Case.Targets.begin(), Case.Targets.end(), [](const auto &Target) {
          return Target->poured() == 0 || Target->endedByPeer() >= 1;
        });
  }));
}

// An answer that ends early must not look complete, and one that is kept for a
// merged answer counts until the request ends.
BOOST_AUTO_TEST_CASE(the_budget_is_returned_with_the_answer) {
  gateway_case Case;
  for (const std::string Id : {"t0", "t1"})
    Case.target(Id, Id == "t0" ? "s0" : "s1", [](const std::string &Request) {
      return scripted_server::reaction{
          successResponse(Request, std::string(300000, 'a'))};
    });
  Case.routes();
  BOOST_TEST(status(Case.get("/all/1")) == "200");
  BOOST_TEST(
      runUntil(Case.Loop, [&] { return Case.Gateway.memory().used() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
