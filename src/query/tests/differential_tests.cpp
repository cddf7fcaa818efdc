#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "query/scatterquery.h"
#include "query/tests/fakecluster.h"

using namespace tarragon;
using namespace tarragon::query;
using tarragon::test::decision_script;
using tarragon::test::fake_cluster;

namespace {

/// Runs one query to its end, its subrequests served in random order while
/// (unless \p Calm) the versions held change.
class served_query {
public:
  served_query(fake_cluster &Cluster, version_table &Table,
               decision_script &Script, const bool Calm)
      : Cluster(Cluster), Table(Table), Script(Script), Calm(Calm) {}

  auto run(const query_request &Request) -> query_answer {
    scatter_query Query(1, "i1", Request,
                        std::make_shared<const deployment>(Cluster.Deployment),
                        0, false);
    take(Query.start(Table, Now));
    while (!Answer && !Waiting.empty()) {
      changeVersions();
      const auto At = Waiting.begin() +
                      static_cast<std::ptrdiff_t>(Script.pick(Waiting.size()));
      const settlement Settlement = Cluster.serve(*At, Script);
      Waiting.erase(At);
      Now += milliseconds(1);
      Table.recordHeld(Settlement.Target, Settlement.Held, Now);
      take(Query.onSettlement(Settlement, Table, Now));
    }
    RC_ASSERT(Query.finished());
    RC_ASSERT(Answer.has_value());
    return *Answer;
  }

private:
  /// Cancelled subrequests stay: their late settlements must change nothing.
  auto take(const query_actions &Actions) -> void {
    for (const query_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_subrequest>(&Action))
        Waiting.push_back(Send->Request);
      if (const auto *Finish = std::get_if<finish_query>(&Action))
        Answer = Finish->Answer;
    }
  }

  auto changeVersions() -> void {
    if (Calm || Script.exhausted())
      return;
    const std::size_t Event = Script.pick(6);
    if (Event == 1)
      Cluster.publish(Script);
    if (Event == 2 || Event == 3)
      Cluster.dropOldest(Script);
    if (Event == 4)
      Cluster.tell(Table, Script);
  }

  fake_cluster &Cluster;
  version_table &Table;
  decision_script &Script;
  bool Calm;
  time_point Now;
  std::vector<subrequest> Waiting;
  std::optional<query_answer> Answer;
};

struct tally {
  int Whole = 0;
  int All = 0;
};

/// Compares all pages of one query with the naive one.
auto comparePages(const std::vector<std::uint8_t> &Bytes, const bool Calm,
                  tally &Tally) -> void {
  decision_script Script(Bytes);
  fake_cluster Cluster(Script);
  version_table Table;
  if (Script.pick(2) == 1)
    Table.recordHint("index", {1, {{"s0", 1 + Script.pick(3)}}});
  for (std::size_t Told = Script.pick(8); Told > 0; --Told)
    Cluster.tell(Table, Script);

  query_request Request{"r", "search", "body", "key", {}, {}};
  const std::size_t Limit = Cluster.Deployment.Contracts.front().Limit;
  for (std::size_t Page = 0; Page < 3; ++Page) {
    query_answer Answer =
        served_query(Cluster, Table, Script, Calm).run(Request);
    ++Tally.All;
    RC_ASSERT(!Calm || Answer.Code == result_code::Ok);
    if (Answer.Code != result_code::Ok)
      return;
    ++Tally.Whole;
    query_answer Naive =
        Cluster.naiveAnswer(Request, Answer.Version, Page * Limit);
    Naive.RequestId = Request.RequestId;
    Naive.Attempts = Answer.Attempts;
    Naive.Continuation = Answer.Continuation;
    RC_ASSERT(Answer == Naive);
    const query_answer Next =
        Cluster.naiveAnswer(Request, Answer.Version, (Page + 1) * Limit);
    RC_ASSERT(!Answer.Continuation.empty() || Next.Items.empty());
    if (Answer.Continuation.empty())
      return;
    Request.Continuation = Answer.Continuation;
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(equals_the_naive_query_while_versions_stand) {
  tally Tally;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Bytes) {
    comparePages(Bytes, true, Tally);
  }));
  BOOST_TEST_MESSAGE("whole answers: " << Tally.Whole << " of " << Tally.All);
}

BOOST_AUTO_TEST_CASE(equals_the_naive_query_while_versions_change) {
  tally Tally;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Bytes) {
    comparePages(Bytes, false, Tally);
  }));
  BOOST_TEST_MESSAGE("whole answers: " << Tally.Whole << " of " << Tally.All);
  BOOST_TEST(Tally.Whole * 2 > Tally.All); // the comparison wasn't idle
}
