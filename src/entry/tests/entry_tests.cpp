#define BOOST_TEST_MODULE entry
#include <boost/test/unit_test.hpp>

#include "entry/answerjson.h"
#include "entry/requestjson.h"
#include "entry/subrequestrouter.h"
#include "entry/targetclient.h"
#include "global/json.h"

#include <json/json.h>

#include <random>

using namespace tarragon;
using transport::call_end;

namespace {

auto makeRequest() -> subrequest {
  subrequest Request;
  Request.Group = "petals/a";
  Request.Version = 7;
  Request.Shard = 1;
  Request.ShardCount = 3;
  return Request;
}

constexpr char CompleteReply[] =
    R"({"attempt":"a1","version":7,"shard":1,"shards":3,"count":1,)"
    R"("items":[{"key":"k","score":0.5,"body":"b"}],)"
    R"("held":[{"version":7,"shards":3}]})";

auto outcomeOf(const call_end End, const int Status, const std::string &Body)
    -> attempt_outcome {
  return entry::readAttemptReply("a1", makeRequest(), {End, Status, Body})
      .Outcome;
}

/// \p CompleteReply with \p From replaced by \p To.
auto replaceInReply(const std::string &From, const std::string &To)
    -> std::string {
  std::string Text = CompleteReply;
  return Text.replace(Text.find(From), From.size(), To);
}

/// Counts the subrequests that a router runs locally and sends to the owner.
struct router_fixture {
  int LocalCount = 0;
  int OwnerCount = 0;
  entry::subrequest_router Router{
      "e1",
      {[this](const subrequest &) { ++LocalCount; },
       [](const query::cancel_subrequest &) {},
       [this](const instance &, const subrequest &) { ++OwnerCount; },
       [](const instance &, const query::cancel_subrequest &) {}}};

  router_fixture() { Router.setOwners({{"petals/a", instance{.Id = "e2"}}}); }

  auto send(const std::uint32_t Part, const bool Repeatable) -> void {
    subrequest Request = makeRequest();
    Request.Id = {1, Part, 0};
    Request.Repeatable = Repeatable;
    Router.send(Request);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(complete_reply_is_answered) {
  BOOST_TEST((outcomeOf(call_end::Replied, 200, CompleteReply) ==
              attempt_outcome::Answered));
}

BOOST_AUTO_TEST_CASE(truncated_or_mismatched_reply_is_corrupt) {
  const std::string Text = CompleteReply;
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    BOOST_TEST((outcomeOf(call_end::Replied, 200, Text.substr(0, Length)) ==
                attempt_outcome::Corrupt));
  for (const auto &Body : {replaceInReply("a1", "a2"),
                           replaceInReply("\"version\":7", "\"version\":8"),
                           replaceInReply("\"shard\":1", "\"shard\":2"),
                           replaceInReply("\"shards\":3", "\"shards\":6"),
                           replaceInReply("\"count\":1", "\"count\":2"),
                           replaceInReply("\"score\":0.5", "\"score\":[]")})
    BOOST_TEST(
        (outcomeOf(call_end::Replied, 200, Body) == attempt_outcome::Corrupt));
}

BOOST_AUTO_TEST_CASE(only_refusals_before_execution_prove_not_run) {
  const std::string Shed = R"({"attempt":"a1","error":"shed"})";
  BOOST_TEST(provesNotRun(outcomeOf(call_end::Replied, 503, Shed)));
  BOOST_TEST(
      !provesNotRun(outcomeOf(call_end::Replied, 503, R"({"error":"odd"})")));
  BOOST_TEST(!provesNotRun(
      outcomeOf(call_end::Replied, 500, R"({"error":"failed"})")));
  BOOST_TEST(provesNotRun(outcomeOf(call_end::NotSent, 0, "")));
  for (const call_end End :
       {call_end::ClosedBeforeReply, call_end::ClosedDuringReply,
        call_end::Mismatched, call_end::TimedOut})
    BOOST_TEST(!provesNotRun(outcomeOf(End, 0, "")));
}

BOOST_AUTO_TEST_CASE(malformed_requests_report_the_wrong_member) {
  BOOST_TEST(entry::readRequest(R"({"contract":"a"})").has_value());
  BOOST_TEST(
      (entry::readRequest("{").error().Code == result_code::MalformedRequest));
  BOOST_TEST(
      entry::readRequest(R"({"contract":"a","colour":"b"})").error().Detail ==
      "unknown member 'colour'");
  BOOST_TEST(entry::readRequest(R"({"contract":1})").error().Detail ==
             "'contract' must be a string");
  const std::string Deep = std::string(40, '[') + std::string(40, ']');
  BOOST_TEST((entry::readRequest(R"({"contract":)" + Deep + "}").error().Code ==
              result_code::TooDeep));
}

BOOST_AUTO_TEST_CASE(damaged_requests_never_crash) {
  const std::string Text =
      R"({"contract":"search","body":"fern","key":"k","ticket":"e1.1.2.3"})";
  std::mt19937 Random(20261204);
  std::size_t Refused = 0;
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Damaged = Text;
    for (int Count = 0; Count < 4; ++Count)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    if (!entry::readRequest(Damaged))
      ++Refused;
  }
  BOOST_TEST(Refused > 0U);
}

BOOST_AUTO_TEST_CASE(answers_round_trip_through_json) {
  query_answer Answer;
  Answer.RequestId = "r";
  Answer.Code = result_code::Partial;
  Answer.Version = 7;
  Answer.Coverage = {3, 2, {{"petals", 1, attempt_outcome::Crashed}}};
  Answer.Items = {{"k", 0.1, "v7"}};
  Answer.Continuation = "7.10";
  Answer.Attempts = 4;
  const auto Parsed = parseJson(writeJson(entry::answerJson(Answer)));
  BOOST_REQUIRE(Parsed);
  const auto Read = entry::readAnswerJson(Parsed.value());
  BOOST_REQUIRE(Read);
  BOOST_TEST((Read.value() == Answer));
}

BOOST_FIXTURE_TEST_CASE(subrequests_go_to_the_owner, router_fixture) {
  send(0, true);
  BOOST_TEST(OwnerCount == 1);
}

BOOST_FIXTURE_TEST_CASE(non_repeatable_subrequests_run_locally,
                        router_fixture) {
  send(0, false);
  BOOST_TEST(LocalCount == 1);
  BOOST_TEST(OwnerCount == 0);
}

BOOST_FIXTURE_TEST_CASE(unreachable_owner_is_skipped_until_heard,
                        router_fixture) {
  send(0, true);
  BOOST_TEST(Router.markUnreachable("e2").size() == 1U);
  send(1, true);
  BOOST_TEST(LocalCount == 1);
  Router.markReachable("e2");
  send(2, true);
  BOOST_TEST(OwnerCount == 2);
}

BOOST_FIXTURE_TEST_CASE(settled_subrequests_are_not_reported_as_lost,
                        router_fixture) {
  send(0, true);
  BOOST_TEST(Router.remove({1, 0, 0}).has_value());
  BOOST_TEST(!Router.remove({1, 0, 0}).has_value());
  BOOST_TEST(Router.markUnreachable("e2").empty());
}
