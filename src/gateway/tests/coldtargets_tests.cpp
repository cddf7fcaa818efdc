#include "gateway/tests/gatewaycase.h"

#include "gateway/statusview.h"

#include <json/json.h>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// The only instance, with one target, which bears two requests per second
/// while it is cold.
struct cold_case : gateway_case {
  explicit cold_case(scripted_server::script Script)
      : Target(target("t0", "s0", std::move(Script))) {
    routes();
    placement::cold_limiter &Cold = Gateway.targets().cold();
    Cold.setSelf("self", true);
    Cold.setLimits(placement::cold_limits{1.5, 5});
    Gateway.targets().setColdStarts({{"s0", {2, 10s}}}, now());
    Gateway.setInstances({{"self"}, {"self"}, {}});
  }

  /// Restarts the target.
  auto restartCold(const milliseconds ColdFor) -> void {
    route::target_registry &Registry = Gateway.targets().registry();
    route::target_entry Entry = *Registry.find("t0");
    ++Entry.StartedAtMs;
    Entry.ColdFor = ColdFor;
    Gateway.applyTargets(Registry.put(Entry));
  }

  auto coldTargets() -> std::size_t {
    return viewStatus(Gateway, now())["cold_targets"].size();
  }

  scripted_server &Target;
};

auto succeed(const std::string &Request) -> scripted_server::reaction {
  return {successResponse(Request, "body")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(coldtargets)

// Held until its deadline, or sent all the same, the second request would be
// lost or crash the target.
BOOST_AUTO_TEST_CASE(what_a_cold_target_cannot_bear_is_refused_as_not_run) {
  cold_case Case(succeed);
  Case.restartCold(20s);
  BOOST_TEST(status(Case.get("/one/1")) == "200");
  const auto Refused = Case.get("/one/1");
  BOOST_TEST(status(Refused) == "503");
  BOOST_TEST(body(Refused) == "not run\n");
  const double RetryAfter = std::stod(headerValue(Refused, "Retry-After"));
  BOOST_TEST(RetryAfter <= 0.76); // the next token, and the jitter
  BOOST_TEST(Case.Target.requests().size() == 1U);
  BOOST_TEST(Case.coldTargets() == 1U);
  Case.Loop.run_for(milliseconds(static_cast<int>(RetryAfter * 1000) + 1));
  BOOST_TEST(status(Case.get("/one/1")) == "200");
}

// Another target answered, so nothing reached the cold one.
BOOST_AUTO_TEST_CASE(a_misdirected_request_does_not_count) {
  bool IsMisdirected = true;
  cold_case Case([&](const std::string &Request) {
    if (std::exchange(IsMisdirected, false))
      return scripted_server::reaction{
          "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"};
    return succeed(Request);
  });
  Case.restartCold(20s);
  BOOST_TEST(status(Case.get("/one/1")) == "503");
  const time_point Now = now();
  BOOST_TEST(!Case.Gateway.targets().cold().isHeld("t0", Now));
}

BOOST_AUTO_TEST_CASE(an_answer_may_say_that_the_target_is_cold) {
  std::string Text;
  cold_case Case([&](const std::string &Request) {
    std::string Response = successResponse(Request, "body");
    if (!Text.empty())
      Response.insert(Response.find("\r\n") + 2, "Cold-For: " + Text + "\r\n");
    return scripted_server::reaction{Response};
  });
  for (const std::string Invalid :
       {"", "0", "-5", "x", "5x", "86400001", "99999999999999999999"}) {
    Text = Invalid;
    BOOST_TEST(status(Case.get("/one/1")) == "200");
    BOOST_TEST(Case.coldTargets() == 0U);
  }
  Text = "5000";
  BOOST_TEST(status(Case.get("/one/1")) == "200");
  BOOST_TEST(Case.coldTargets() == 1U);
  const auto Before = Case.Target.requests().size();
  BOOST_TEST(status(Case.get("/one/1")) == "503");
  BOOST_TEST(Case.Target.requests().size() == Before);
}

// A deployment without bounds is served as before.
BOOST_AUTO_TEST_CASE(without_limits_a_cold_target_is_not_bounded) {
  cold_case Case(succeed);
  Case.Gateway.targets().cold().setLimits(std::nullopt);
  Case.restartCold(20s);
  for (int Request = 0; Request < 5; ++Request)
    BOOST_TEST(status(Case.get("/one/1")) == "200");
  BOOST_TEST(Case.coldTargets() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
