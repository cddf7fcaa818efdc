#include "gateway/tests/gatewaycase.h"
#include "global/hash.h"

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

BOOST_AUTO_TEST_SUITE(crashes)

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

// Load: the targets of two shards crash at once; once a query that ran on both
// was held, and its caller's next try refused.
BOOST_AUTO_TEST_CASE(crashes_all_at_once_hold_no_request) {
  gateway_case Case;
  std::vector<scripted_server *> All;
  for (const std::string Shard : {"s0", "s1"})
    All.push_back(&Case.target("t" + Shard, Shard, [&](const std::string &) {
      for (scripted_server *Server : All)
        Server->stopListening();
      return scripted_server::reaction{"", false, true};
    }));
  Case.routes();
  Case.get("/all/1");
  Case.Loop.run_for(500ms);
  BOOST_TEST((Case.Gateway.poison().verdict(hash64("GET h.example/all/1\n"),
                                            std::chrono::steady_clock::now()) !=
              admission::poison_verdict::Held));
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
