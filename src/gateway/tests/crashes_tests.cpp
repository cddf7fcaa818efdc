#include "gateway/tests/gatewaycase.h"
#include "global/hash.h"

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

BOOST_AUTO_TEST_SUITE(crashes)

// A connection reset before the answer breaks a run as a crash does, but the
// target still accepts connections. Guards against quarantining such requests.
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

BOOST_AUTO_TEST_CASE(a_target_unreachable_after_a_broken_run_has_crashed) {
  gateway_case Case;
  const auto Fingerprint = hash64("GET h.example/one/1\n");
  std::vector<scripted_server *> Servers;
  for (const std::string Id : {"t0", "t1", "t2", "t3"})
    Servers.push_back(&Case.target(Id, "s0", [&](const std::string &) {
      for (scripted_server *Server : Servers)
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

// The targets of two shards crash at once. Guards against counting the crashes
// separately, which quarantines a request that ran on both.
BOOST_AUTO_TEST_CASE(simultaneous_crashes_do_not_quarantine_a_request) {
  gateway_case Case;
  std::vector<scripted_server *> Servers;
  for (const std::string Shard : {"s0", "s1"})
    Servers.push_back(
        &Case.target("t" + Shard, Shard, [&](const std::string &) {
          for (scripted_server *Server : Servers)
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

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_is_quarantined) {
  gateway_case Case;
  std::vector<scripted_server *> Servers;
  for (const std::string Id : {"t0", "t1", "t2", "t3", "t4"})
    Servers.push_back(&Case.target(Id, "s0", [](const std::string &) {
      return scripted_server::reaction{"", false, true};
    }));
  Case.routes();
  for (const std::string Target : {"t0", "t1"})
    Case.Gateway.poison().recordCrash(
        {hash64("GET h.example/one/1\n"), Target, true, milliseconds(0)},
        std::chrono::steady_clock::now());
  BOOST_TEST(status(Case.get("/one/1")) == "503");
  for (const scripted_server *Target : Servers)
    BOOST_TEST(Target->requests().empty());
}

// Each target that runs the request crashes, and the retry meets the next one
// at once. Guards against counting such crashes as one.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_in_turn_is_held) {
  gateway_case Case;
  std::vector<scripted_server *> Servers;
  const auto Crash = [&](const std::string &Request) {
    for (scripted_server *Server : Servers)
      if (!Server->requests().empty() && Server->requests().back() == Request)
        Server->stopListening();
    return scripted_server::reaction{"", false, true};
  };
  for (const std::string Id : {"t0", "t1", "t2"})
    Servers.push_back(&Case.target(Id, "s0", Crash));
  Case.routes(); // two attempts
  Case.get("/one/1");
  BOOST_TEST(runUntil(Case.Loop, [&] {
    return Case.Gateway.poison().verdict(hash64("GET h.example/one/1\n"),
                                         std::chrono::steady_clock::now()) ==
           admission::poison_verdict::Held;
  }));
  const auto Answer = Case.get("/one/1");
  BOOST_TEST(status(Answer) == "503");
  BOOST_TEST(headerValue(Answer, "Retry-After") != "none");
  std::size_t Runs = 0;
  for (const scripted_server *Server : Servers)
    Runs += Server->requests().size();
  BOOST_TEST(Runs == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
