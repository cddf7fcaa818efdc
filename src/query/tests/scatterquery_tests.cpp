#include <boost/test/unit_test.hpp>

#include "query/scatterquery.h"
#include "query/versiontable.h"

using namespace tarragon;
using namespace tarragon::query;

namespace {

/// A query of one service with three groups, all of which hold version 5.
struct three_shards {
  three_shards() {
    service Service{"s", "", "index", {}, {}};
    for (const char *Group : {"a", "b", "c"}) {
      Service.Groups.push_back({Group, {{Group, "", ""}}});
      Table.recordHeld(Group, {{5, 3}}, Now);
    }
    Deployment.Services.push_back(Service);
    contract Contract;
    Contract.Id = "c";
    Contract.Services = {"s"};
    Contract.Limit = 2;
    Deployment.Contracts.push_back(Contract);
  }

  auto testContract() -> contract & { return Deployment.Contracts.front(); }

  auto start(query_request Request = {"r", "c", "body", "", {}, {}}) -> void {
    Query.emplace(1, "i", std::move(Request),
                  std::make_shared<deployment>(Deployment), 9, false);
    Actions = Query->start(Table, Now);
    Sent.clear();
    for (const query_action &Action : Actions)
      if (const auto *Send = std::get_if<send_subrequest>(&Action))
        Sent.push_back(Send->Request);
  }

  auto settle(const subrequest &Request, const attempt_outcome Outcome,
              std::vector<item> Items = {}) -> void {
    settlement Settlement;
    Settlement.Id = Request.Id;
    Settlement.Outcome = Outcome;
    Settlement.ProvenNotRun = provesNotRun(Outcome);
    Settlement.Version = Request.Version;
    Settlement.Shard = Request.Shard;
    Settlement.ShardCount = Request.ShardCount;
    Settlement.Items = std::move(Items);
    Settlement.Target = Target;
    Actions = Query->onSettlement(Settlement, Table, Now);
  }

  auto answer() const -> query_answer {
    BOOST_REQUIRE(!Actions.empty());
    return std::get<finish_query>(Actions.back()).Answer;
  }

  auto lastSent() const -> subrequest {
    BOOST_REQUIRE(!Actions.empty());
    return std::get<send_subrequest>(Actions.back()).Request;
  }

  time_point Now;
  deployment Deployment;
  version_table Table;
  std::optional<scatter_query> Query;
  query_actions Actions;
  std::vector<subrequest> Sent;
  target_id Target = "t";
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(scatter_query_tests, three_shards)

BOOST_AUTO_TEST_CASE(answers_early_once_wanted_coverage_and_delay_are_met) {
  testContract().Wait = wait_policy::AnswerEarly;
  testContract().WantedCoverage = 0.6;
  testContract().EarlyAfter = milliseconds(50);
  start();
  settle(Sent[0], attempt_outcome::Answered);
  BOOST_TEST((Query->nextWake() == Now + milliseconds(200)));
  settle(Sent[1], attempt_outcome::Answered);
  BOOST_TEST((Query->nextWake() == Now + milliseconds(50)));
  BOOST_TEST(Query->onTimer(Now + milliseconds(49)).empty());
  Actions = Query->onTimer(Now + milliseconds(50));
  BOOST_REQUIRE(Actions.size() == 2U); // the third is cancelled
  BOOST_TEST((std::get<cancel_subrequest>(Actions[0]).Id == Sent[2].Id));
  BOOST_TEST((answer().Code == result_code::Partial));
}

BOOST_AUTO_TEST_CASE(never_answers_non_repeatable_requests_early) {
  testContract().Wait = wait_policy::AnswerEarly;
  testContract().WantedCoverage = 0.1;
  testContract().Repeatable = false;
  start();
  settle(Sent[0], attempt_outcome::Answered);
  BOOST_TEST(Actions.empty());
}

BOOST_AUTO_TEST_CASE(waits_for_all_shards_until_the_deadline) {
  testContract().WantedCoverage = 0.1;
  start();
  settle(Sent[0], attempt_outcome::Answered);
  BOOST_TEST(Query->onTimer(Now + milliseconds(199)).empty());
  Actions = Query->onTimer(Now + milliseconds(200));
  BOOST_TEST((answer().Coverage.Missing[0].Reason == attempt_outcome::Expired));
}

BOOST_AUTO_TEST_CASE(refuses_below_the_minimum_coverage) {
  testContract().Shortfall = shortfall_policy::Refuse;
  testContract().MinCoverage = 1;
  start();
  settle(Sent[0], attempt_outcome::Answered, {{"k", 1, ""}});
  settle(Sent[1], attempt_outcome::Answered);
  settle(Sent[2], attempt_outcome::Shed);
  BOOST_TEST((answer().Code == result_code::CoverageBelowLeast));
  BOOST_TEST(answer().Items.empty());
}

BOOST_AUTO_TEST_CASE(retries_a_crashed_shard_once_as_suspect) {
  start();
  Target = "t0";
  settle(Sent[0], attempt_outcome::Crashed);
  const subrequest Again = lastSent();
  BOOST_TEST(Again.Suspect);
  BOOST_TEST(Again.Id.Try == 1U);
  settle(Again, attempt_outcome::Crashed);
  BOOST_TEST(Actions.empty());
  Target = "t1";
  // With two crashed targets the request is the likely cause: no retry.
  settle(Sent[1], attempt_outcome::Crashed);
  BOOST_TEST(Actions.empty());
}

BOOST_AUTO_TEST_CASE(retries_once_when_the_dispatcher_is_lost) {
  testContract().Repeatable = false;
  start();
  Target.clear();
  settle(Sent[1], attempt_outcome::NotSent);
  const subrequest Again = lastSent();
  settle(Again, attempt_outcome::NotSent);
  BOOST_TEST(Actions.empty());
  Target = "t";
  settle(Sent[0], attempt_outcome::NotSent);
  settle(Sent[2], attempt_outcome::NotSent);
  BOOST_TEST((answer().Code == result_code::NotRunNoTarget));
}

BOOST_AUTO_TEST_CASE(restarts_at_an_older_version_and_cancels_pending_tries) {
  for (const char *Group : {"a", "b", "c"})
    Table.recordHeld(Group, {{4, 2}, {5, 3}}, Now);
  start();
  Table.recordHeld("b", {{4, 2}}, Now);
  settle(Sent[0], attempt_outcome::Answered);
  settle(Sent[1], attempt_outcome::WrongVersion);
  BOOST_REQUIRE(Actions.size() == 3U); // one cancelled, two sent
  BOOST_TEST((std::get<cancel_subrequest>(Actions[0]).Id == Sent[2].Id));
  BOOST_TEST(lastSent().Version == 4U);
  BOOST_TEST(lastSent().Id.Try == 1U);
  const auto First = std::get<send_subrequest>(Actions[1]).Request;
  const subrequest Last = lastSent();
  settle(Sent[2], attempt_outcome::Answered);
  BOOST_TEST(Actions.empty());
  settle(First, attempt_outcome::Shed);
  // A shard ran in the first round, so the code isn't a not-run code.
  settle(Last, attempt_outcome::Shed);
  BOOST_TEST((answer().Code == result_code::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(keeps_answers_when_no_time_is_left_for_a_new_round) {
  for (const char *Group : {"a", "b", "c"})
    Table.recordHeld(Group, {{4, 2}, {5, 3}}, Now);
  start();
  Table.recordHeld("b", {{4, 2}}, Now);
  Now += milliseconds(100);
  settle(Sent[0], attempt_outcome::Answered);
  settle(Sent[2], attempt_outcome::Answered);
  settle(Sent[1], attempt_outcome::WrongVersion);
  BOOST_TEST((answer().Code == result_code::Partial));
}

BOOST_AUTO_TEST_CASE(discovers_versions_first_and_may_still_restart) {
  Table = {};
  start();
  BOOST_TEST(Sent[0].Version == 0U); // discovery: one subrequest per group
  for (const subrequest &Request : Sent) {
    Table.recordHeld(Request.Group, {{4, 3}, {5, 3}}, Now);
    settle(Request, attempt_outcome::WrongVersion);
  }
  const subrequest Newest = lastSent();
  BOOST_TEST(Newest.Version == 5U);
  Table.recordHeld(Newest.Group, {{4, 3}}, Now);
  settle(Newest, attempt_outcome::WrongVersion);
  BOOST_TEST(lastSent().Version == 4U);
}

BOOST_AUTO_TEST_CASE(token_is_bound_to_its_query_and_snapshot) {
  testContract().Limit = 1;
  start();
  for (const subrequest &Request : Sent)
    settle(Request, attempt_outcome::Answered, {{"k", 1, ""}});
  query_request Next{"r", "c", "body", "", {}, answer().Continuation};
  query_request Other = Next;
  Other.Body = "other";
  start(Other);
  BOOST_TEST((answer().Code == result_code::MalformedToken));
  Other = Next;
  Other.Continuation->front() = '9';
  start(Other);
  BOOST_TEST((answer().Code == result_code::MalformedToken));
  start(Next);
  BOOST_TEST(Sent.size() == 3U);
  BOOST_TEST(Sent[0].Limit == 2U);
  for (const char *Group : {"a", "b", "c"})
    Table.recordHeld(Group, {{6, 3}}, Now);
  for (const subrequest &Request : Sent) // later pages never change the version
    settle(Request, attempt_outcome::WrongVersion);
  BOOST_TEST((answer().Code == result_code::SnapshotGone));
  start(Next);
  BOOST_TEST((answer().Code == result_code::SnapshotGone));
}

BOOST_AUTO_TEST_CASE(refuses_queries_that_cannot_start) {
  start({"r", "none", "", "", {}, {}});
  BOOST_TEST((answer().Code == result_code::UnknownContract));
  testContract().Merge = merge_kind::ByKey;
  start();
  BOOST_TEST((answer().Code == result_code::MalformedRequest));
  Deployment.Services.clear();
  start({"r", "c", "", "key", {}, {}});
  BOOST_TEST((answer().Code == result_code::NoCommonSnapshot));
}

BOOST_AUTO_TEST_SUITE_END()
