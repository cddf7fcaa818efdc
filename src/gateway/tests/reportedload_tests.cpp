#include "gateway/internal/loadheader.h"
#include "gateway/statusview.h"
#include "gateway/tests/gatewaycase.h"

#include <json/json.h>

using namespace tarragon;
using namespace tarragon::gateway;
using namespace tarragon::gateway::tests;
using tarragon::gateway::internal::parseLoad;
using tarragon::placement::told_load;

namespace {

/// Returns the load of target t0 after one request that it answers with
/// \p Head.
auto loadAfter(gateway_case &Case, const std::string &Head)
    -> std::optional<told_load> {
  Case.target("t0", "s0", [Head](const std::string &Request) {
    return scripted_server::reaction{
        "HTTP/1.1 " + Head + "Id: " + headerValue(Request, "Id") +
        "\r\nStamp: st\r\nContent-Length: 0\r\n\r\n"};
  });
  Case.routes();
  Case.get("/one/1");
  return Case.Gateway.targets().health("t0").load().told();
}

} // namespace

BOOST_AUTO_TEST_SUITE(reportedload)

BOOST_AUTO_TEST_CASE(a_load_has_three_or_four_whole_numbers) {
  BOOST_TEST((parseLoad("1,2,4") == told_load{1, 2, 4, 0}));
  BOOST_TEST((parseLoad("0,0,1,250") == told_load{0, 0, 1, 2.5}));
  BOOST_TEST((parseLoad("6,0,4,100") == told_load{6, 0, 4, 1}));
}

BOOST_AUTO_TEST_CASE(any_other_load_is_ignored) {
  for (const std::string Text :
       {"",           ",",           "1",
        "1,2",        "1,2,",        "1,2,4,",
        "1,2,4,100,", "1,2,4,100,1", "-1,2,4",
        "-0,2,4",     "+1,2,4",      "1,-2,4",
        "1,2,-4",     "1,2,0",       "1,2,4,0",
        "1,2,4,-5",   "1.5,2,4",     "1,2,4,1.5",
        "1, 2,4",     " 1,2,4",      "1,2,4 ",
        "a,2,4",      "1;2;4",       "1,,4",
        "0x1,2,4",    "100001,2,4",  "1,100001,4",
        "1,2,100001", "1,2,4,10001", "99999999999999999999,2,4",
        "nan,2,4"})
    BOOST_TEST(!parseLoad(Text).has_value(), "accepted: " << Text);
}

BOOST_AUTO_TEST_CASE(a_load_is_taken_from_a_success) {
  gateway_case Case;
  const auto Load = loadAfter(Case, "200 OK\r\nLoad: 3,1,4,125\r\n");
  BOOST_TEST((Load == told_load{3, 1, 4, 1.25}));
  const auto View = viewStatus(Case.Gateway, std::chrono::steady_clock::now());
  const Json::Value &Row = View["targets"][0]["load"];
  BOOST_TEST(Row["running"].asInt() == 3);
  BOOST_TEST(Row["waiting"].asInt() == 1);
  BOOST_TEST(Row["slots"].asInt() == 4);
  BOOST_TEST(Row["pace"].asDouble() == 1.25);
  BOOST_TEST(Row["age_ms"].asDouble() >= 0);
  BOOST_TEST(View["load_trust"].asDouble() == 1);
}

// An answer that refuses the request is what tells most of a full target.
BOOST_AUTO_TEST_CASE(a_load_is_taken_from_a_shed_answer) {
  gateway_case Case;
  const auto Load =
      loadAfter(Case, "503 Busy\r\nNot-Run: 1\r\nLoad: 4,24,4\r\n");
  BOOST_TEST((Load == told_load{4, 24, 4, 0}));
}

BOOST_AUTO_TEST_CASE(a_load_is_taken_from_a_failure) {
  gateway_case Case;
  const auto Load = loadAfter(Case, "500 Error\r\nLoad: 4,2,4\r\n");
  BOOST_TEST((Load == told_load{4, 2, 4, 0}));
}

// Another target uses the address: its load says nothing about this one.
BOOST_AUTO_TEST_CASE(no_load_is_taken_from_a_misdirected_answer) {
  gateway_case Case;
  BOOST_TEST(
      !loadAfter(Case, "421 Misdirected\r\nLoad: 4,2,4\r\n").has_value());
}

BOOST_AUTO_TEST_CASE(a_missing_or_invalid_load_changes_nothing) {
  gateway_case Missing;
  BOOST_TEST(!loadAfter(Missing, "200 OK\r\n").has_value());
  gateway_case Invalid;
  BOOST_TEST(!loadAfter(Invalid, "200 OK\r\nLoad: 4,many,4\r\n").has_value());
  const auto View =
      viewStatus(Invalid.Gateway, std::chrono::steady_clock::now());
  BOOST_TEST(!View["targets"][0].isMember("load"));
}

// Callers get the headers of a target's answer as they are.
BOOST_AUTO_TEST_CASE(the_header_is_forwarded) {
  gateway_case Case;
  Case.target("t0", "s0", [](const std::string &Request) {
    return scripted_server::reaction{
        "HTTP/1.1 200 OK\r\nLoad: 1,0,4\r\nId: " + headerValue(Request, "Id") +
        "\r\nStamp: st\r\nContent-Length: 0\r\n\r\n"};
  });
  Case.routes();
  BOOST_TEST(headerValue(Case.get("/one/1"), "Load") == "1,0,4");
}

BOOST_AUTO_TEST_SUITE_END()
