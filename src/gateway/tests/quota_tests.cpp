#include "account/quotaledger.h"
#include "gateway/statusview.h"
#include "gateway/tests/gatewaycase.h"

#include <json/json.h>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

constexpr const char *KeyA = "App-Key: secret-a\r\n";
constexpr const char *KeyB = "App-Key: secret-b\r\n";

auto success(const std::string &Request) -> scripted_server::reaction {
  return {successResponse(Request, "body")};
}

auto shed(const std::string &Request) -> scripted_server::reaction {
  return {"HTTP/1.1 503 X\r\nId: " + headerValue(Request, "Id") +
          "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

/// A gateway with the account a, which has a limit, and b, which has none.
struct quota_case : gateway_case {
  explicit quota_case(const double Rate, const bool IsAlone) {
    // With this slack, a start without known levels has one token.
    Gateway.setQuota(account::quota_limits{5000ms, 0.1, 5});
    account::quota_peers Peers;
    Peers.IsServing = true;
    Peers.IsAlone = IsAlone;
    Gateway.setQuotaPeers(Peers);
    route::route_set Set = routeSet();
    Set.Accounts.emplace();
    route::account Limited;
    Limited.Name = "a";
    Limited.Keys = {"secret-a"};
    Limited.RatePerSecond = Rate;
    route::account Free;
    Free.Name = "b";
    Free.Keys = {"secret-b"};
    Set.Accounts = {Limited, Free};
    setRoutes(std::move(Set));
  }

  auto counter(const std::string &Name, const report::metric_labels &Labels)
      -> std::uint64_t {
    return Metrics.counter(Name, Labels).value();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(quota)

// Guards against a refused request that reaches a target.
BOOST_AUTO_TEST_CASE(a_request_over_the_quota_is_refused_before_it_is_sent) {
  quota_case Case(2, true);
  auto &Target = Case.target("t0", "s0", success);
  BOOST_TEST(status(Case.get("/one/1", KeyA)) == "200");
  const auto Answer = Case.get("/one/1", KeyA);
  BOOST_TEST(status(Answer) == "429");
  // A token takes 0.5 s; jitter adds up to a half.
  const double RetryAfter = std::stod(headerValue(Answer, "Retry-After"));
  BOOST_TEST(RetryAfter > 0);
  BOOST_TEST(RetryAfter <= 0.76);
  BOOST_TEST(status(Case.get("/one/1", KeyB)) == "200");
  BOOST_TEST(Target.requests().size() == 2U);
  BOOST_TEST(Case.counter("tarragon_refused_total", {{"why", "over quota"}}) ==
             1U);
  BOOST_TEST(
      Case.counter("tarragon_quota_admitted_total", {{"account", "a"}}) == 1U);
  BOOST_TEST(Case.counter("tarragon_quota_refused_total", {{"account", "a"}}) ==
             1U);
}

// Guards against tokens that repeated requests, which are late in any case,
// take from those that can still be answered in time.
BOOST_AUTO_TEST_CASE(a_late_request_leaves_the_last_tokens_to_others) {
  quota_case Case(2, true);
  auto &Target = Case.target("t0", "s0", success);
  const std::string Late = std::string(KeyA) + "Left: 100\r\n";
  BOOST_TEST(status(Case.get("/one/1", Late)) == "429");
  BOOST_TEST(Target.requests().empty());
  BOOST_TEST(status(Case.get("/one/1", KeyA)) == "200");
}

// Guards against a bucket that is full at an instance without peers.
BOOST_AUTO_TEST_CASE(an_instance_that_knows_no_peer_admits_from_a_floor) {
  quota_case Case(0.01, false);
  auto &Target = Case.target("t0", "s0", success);
  BOOST_TEST(status(Case.get("/one/1", KeyA)) == "200");
  BOOST_TEST(status(Case.get("/one/1", KeyA)) == "429");
  BOOST_TEST(Target.requests().size() == 1U);
}

// Guards against tokens spent on requests that no target ran.
BOOST_AUTO_TEST_CASE(a_request_that_has_not_run_gets_its_token_back) {
  for (const bool IsAlone : {false, true}) {
    quota_case Case(0.01, IsAlone);
    Case.target("t0", "s0", shed);
    for (int Each = 0; Each < 3; ++Each)
      BOOST_TEST(status(Case.get("/one/1", KeyA)) == "503");
    BOOST_TEST(
        Case.counter("tarragon_refused_total", {{"why", "over quota"}}) == 0U);
  }
}

// Guards against a token that a request which ran gets back.
BOOST_AUTO_TEST_CASE(a_request_that_failed_at_a_target_keeps_its_token) {
  quota_case Case(0.01, true);
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{
        "HTTP/1.1 500 X\r\nId: " + headerValue(Request, "Id") +
        "\r\nContent-Length: 0\r\n\r\n"};
  });
  BOOST_TEST(status(Case.get("/one/1", KeyA)) != "429");
  BOOST_TEST(status(Case.get("/one/1", KeyA)) == "429");
}

// Guards against a scattered query that takes a token for each part.
BOOST_AUTO_TEST_CASE(a_scattered_query_takes_one_token) {
  quota_case Case(0.01, true);
  const auto Part = [](const std::string &Request) {
    return scripted_server::reaction{
        successResponse(Request, std::string(16, 'a'))};
  };
  Case.target("t0", "s0", Part);
  Case.target("t1", "s1", Part);
  BOOST_TEST(status(Case.get("/all/1", KeyA)) == "200");
  BOOST_TEST(
      Case.counter("tarragon_quota_admitted_total", {{"account", "a"}}) == 1U);
  BOOST_TEST(status(Case.get("/all/1", KeyA)) == "429");
}

// Guards against quotas where the settings have none.
BOOST_AUTO_TEST_CASE(without_limits_in_the_settings_there_are_no_quotas) {
  quota_case Case(0.01, true);
  Case.target("t0", "s0", success);
  Case.Gateway.setQuota(std::nullopt);
  for (int Each = 0; Each < 3; ++Each)
    BOOST_TEST(status(Case.get("/one/1", KeyA)) == "200");
  BOOST_TEST(!viewStatus(Case.Gateway, std::chrono::steady_clock::now())
                  .isMember("quotas"));
}

// Guards against usage that is never reported, and operators who can't see why
// an account is refused.
BOOST_AUTO_TEST_CASE(usage_is_reported_and_shown) {
  quota_case Case(2, true);
  Case.target("t0", "s0", success);
  std::uint64_t Reported = 0;
  Case.Gateway.setUsageHandler([&Reported](const account::usage_report &Report,
                                           const std::vector<address> &) {
    if (!Report.Rows.empty())
      Reported = Report.Rows[0].Count;
  });
  Case.get("/one/1", KeyA);
  Case.get("/one/1", KeyA);
  BOOST_TEST(runUntil(Case.Loop, [&Reported] { return Reported == 1; }));
  const auto View = viewStatus(Case.Gateway, std::chrono::steady_clock::now());
  const Json::Value &Quotas = View["quotas"];
  BOOST_TEST(Quotas["heard"].asUInt() == 0U);
  BOOST_TEST(Quotas["silent"].asUInt() == 0U);
  BOOST_REQUIRE(Quotas["accounts"].size() == 1U);
  const Json::Value &Row = Quotas["accounts"][0];
  BOOST_TEST(Row["account"].asString() == "a");
  BOOST_TEST(Row["admitted"].asUInt() == 1U);
  BOOST_TEST(Row["refused"].asUInt() == 1U);
  BOOST_TEST(Row["level"].asDouble() < 2);
}

BOOST_AUTO_TEST_SUITE_END()
