#include "gateway/statusview.h"
#include "gateway/tests/gatewaycase.h"

#include <json/json.h>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;

namespace {

/// Both shards answer a part in 100 ms and have 20 open ones; queries have
/// missed their objective, and one is open.
auto overload(placement::query_admission &Admission) -> void {
  const auto Now = std::chrono::steady_clock::now();
  for (const std::string Service : {"s0", "s1"}) {
    for (int Number = 0; Number < 40; ++Number)
      Admission.close(Service, Admission.open(Service, 1, Now - 100ms),
                      placement::part_end::Answered, Now);
    for (int Number = 0; Number < 20; ++Number)
      Admission.open(Service, 1, Now);
  }
  for (int Number = 0; Number < 20; ++Number) {
    Admission.beginQuery();
    Admission.endQuery(true, Now);
  }
  Admission.beginQuery();
}

auto addTargets(gateway_case &Case) -> void {
  for (const std::string Service : {"s0", "s1"})
    Case.target("t" + Service, Service, [](const std::string &Request) {
      return scripted_server::reaction{
          successResponse(Request, std::string(16, 'a'))};
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(queryrefusals)

// Guards against queries that are sent although they can't be answered in time.
BOOST_AUTO_TEST_CASE(an_unlikely_query_is_refused_at_once_and_nothing_is_sent) {
  gateway_case Case;
  addTargets(Case);
  Case.routes();
  overload(Case.Gateway.admission());
  const auto Answer = Case.get("/all/1");
  BOOST_TEST(status(Answer) == "503");
  const std::string RetryAfter = headerValue(Answer, "Retry-After");
  BOOST_REQUIRE(RetryAfter != "none");
  BOOST_TEST(std::stod(RetryAfter) >= 0.1);
  BOOST_TEST(std::stod(RetryAfter) <= 1.5);
  for (const auto &Target : Case.Targets)
    BOOST_TEST(Target->requests().empty());
  BOOST_TEST(Case.Gateway.queryRefusals().count() == 1U);
  const Json::Value View =
      viewStatus(Case.Gateway, std::chrono::steady_clock::now());
  BOOST_TEST(View["admission"]["active"].asBool());
  BOOST_TEST(View["admission"]["refused"].asUInt64() == 1U);
}

// Guards against refusals of requests to one service.
BOOST_AUTO_TEST_CASE(a_single_request_is_served_while_queries_are_refused) {
  gateway_case Case;
  addTargets(Case);
  Case.routes();
  overload(Case.Gateway.admission());
  BOOST_TEST(status(Case.get("/all/1")) == "503");
  BOOST_TEST(status(Case.get("/one/1")) == "200");
}

// Guards against an instance that goes on refusing after the overload.
BOOST_AUTO_TEST_CASE(queries_are_served_again_once_none_is_open) {
  gateway_case Case;
  addTargets(Case);
  Case.routes();
  overload(Case.Gateway.admission());
  BOOST_TEST(status(Case.get("/all/1")) == "503");
  Case.Gateway.admission().endQuery(true, std::chrono::steady_clock::now());
  BOOST_TEST(status(Case.get("/all/1")) == "200");
  BOOST_TEST(Case.Gateway.admission().openQueries() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
