#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "query/scatterquery.h"
#include "query/tests/fakecluster.h"

using namespace tarragon;
using namespace tarragon::query;
using tarragon::test::choice_sequence;
using tarragon::test::fake_cluster;

namespace {

/// Runs a query to its end. Serves its subrequests in random order while the
/// versions held by targets change, unless \p StableVersions.
class served_query {
public:
  served_query(fake_cluster &Cluster, version_table &Table,
               choice_sequence &Choices, const bool StableVersions)
      : Cluster(Cluster), Table(Table), Choices(Choices),
        StableVersions(StableVersions) {}

  auto run(const query_request &Request) -> query_answer {
    scatter_query Query(1, "i1", Request,
                        std::make_shared<const deployment>(Cluster.Deployment),
                        0, false);
    apply(Query.start(Table, Now));
    while (!Answer && !Unsettled.empty()) {
      changeVersions();
      const auto At = Unsettled.begin() + static_cast<std::ptrdiff_t>(
                                              Choices.pick(Unsettled.size()));
      const settlement Settlement = Cluster.serve(*At, Choices);
      Unsettled.erase(At);
      Now += milliseconds(1);
      Table.recordHeld(Settlement.Target, Settlement.Held, Now);
      apply(Query.onSettlement(Settlement, Table, Now));
    }
    RC_ASSERT(Query.finished());
    RC_ASSERT(Answer.has_value());
    return *Answer;
  }

private:
  /// Keeps cancelled subrequests: their late settlements must have no effect.
  auto apply(const query_actions &Actions) -> void {
    for (const query_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_subrequest>(&Action))
        Unsettled.push_back(Send->Request);
      if (const auto *Finish = std::get_if<finish_query>(&Action))
        Answer = Finish->Answer;
    }
  }

  auto changeVersions() -> void {
    if (StableVersions || Choices.exhausted())
      return;
    const std::size_t Event = Choices.pick(6);
    if (Event == 1)
      Cluster.publish(Choices);
    if (Event == 2 || Event == 3)
      Cluster.dropOldest(Choices);
    if (Event == 4)
      Cluster.reportHeld(Table, Choices);
  }

  fake_cluster &Cluster;
  version_table &Table;
  choice_sequence &Choices;
  bool StableVersions;
  time_point Now;
  std::vector<subrequest> Unsettled;
  std::optional<query_answer> Answer;
};

struct tally {
  int Complete = 0;
  int All = 0;
};

/// Compares all pages of a query with the reference answers.
auto comparePages(const std::vector<std::uint8_t> &Bytes,
                  const bool StableVersions, tally &Tally) -> void {
  choice_sequence Choices(Bytes);
  fake_cluster Cluster(Choices);
  version_table Table;
  if (Choices.pick(2) == 1)
    Table.recordHint("index", {1, {{"s0", 1 + Choices.pick(3)}}});
  for (std::size_t Report = Choices.pick(8); Report > 0; --Report)
    Cluster.reportHeld(Table, Choices);

  query_request Request{"r", "search", "body", "key", {}, {}};
  const std::size_t Limit = Cluster.Deployment.Contracts.front().Limit;
  for (std::size_t Page = 0; Page < 3; ++Page) {
    query_answer Answer =
        served_query(Cluster, Table, Choices, StableVersions).run(Request);
    ++Tally.All;
    RC_ASSERT(!StableVersions || Answer.Code == result_code::Ok);
    if (Answer.Code != result_code::Ok)
      return;
    ++Tally.Complete;
    query_answer Reference =
        Cluster.referenceAnswer(Request, Answer.Version, Page * Limit);
    Reference.RequestId = Request.RequestId;
    Reference.Attempts = Answer.Attempts;
    Reference.Continuation = Answer.Continuation;
    RC_ASSERT(Answer == Reference);
    const query_answer Next =
        Cluster.referenceAnswer(Request, Answer.Version, (Page + 1) * Limit);
    RC_ASSERT(!Answer.Continuation.empty() || Next.Items.empty());
    if (Answer.Continuation.empty())
      return;
    Request.Continuation = Answer.Continuation;
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(matches_the_reference_while_versions_are_stable) {
  tally Tally;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Bytes) {
    comparePages(Bytes, true, Tally);
  }));
  BOOST_TEST_MESSAGE("complete answers: " << Tally.Complete << " of "
                                          << Tally.All);
}

BOOST_AUTO_TEST_CASE(matches_the_reference_while_versions_change) {
  tally Tally;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Bytes) {
    comparePages(Bytes, false, Tally);
  }));
  BOOST_TEST_MESSAGE("complete answers: " << Tally.Complete << " of "
                                          << Tally.All);
  BOOST_TEST(Tally.Complete * 2 > Tally.All); // enough answers were compared
}
