#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "query/scatterquery.h"
#include "query/tests/choicesequence.h"
#include "query/versiontable.h"

#include <cmath>
#include <set>

using namespace tarragon;
using namespace tarragon::query;
using tarragon::test::choice_sequence;

namespace {

constexpr std::size_t ShardsOf[] = {0, 3, 2}; // by index version

/// Returns one service with two groups of one target each, and a random
/// contract.
auto makeDeployment(choice_sequence &Choices) -> deployment {
  contract Contract;
  Contract.Id = "c";
  Contract.Services = {"s"};
  Contract.Repeatable = Choices.pick(2) == 0;
  Contract.Merge = static_cast<merge_kind>(Choices.pick(3));
  Contract.Wait = static_cast<wait_policy>(Choices.pick(2));
  Contract.EarlyAfter = milliseconds(Choices.pick(150));
  Contract.Shortfall = static_cast<shortfall_policy>(Choices.pick(2));
  Contract.MinCoverage = 0.5 * static_cast<double>(Choices.pick(3));
  Contract.WantedCoverage = 0.5 * static_cast<double>(Choices.pick(3));
  service Service{"s", "", "index", {}, {}};
  Service.Groups = {{"s/0", {{"t0", "", ""}}}, {"s/1", {{"t1", "", ""}}}};
  deployment Deployment;
  Deployment.Services.push_back(Service);
  Deployment.Contracts.push_back(Contract);
  return Deployment;
}

/// The actual state of a subrequest, and what was reported to the query.
struct sent_subrequest {
  subrequest Request;
  bool Done = false; ///< settled or lost
  bool Live = true;  ///< neither settled nor cancelled
  bool Ran = false;
  bool ReportedNotRun = false;
  bool AnsweredCorrectly = false;
  bool InDoubt = true; ///< no settlement made its outcome certain
};

/// Settles subrequests with all kinds of faults and checks that the query keeps
/// its guarantees.
class fault_schedule {
public:
  explicit fault_schedule(choice_sequence &Choices)
      : Choices(Choices),
        Deployment(std::make_shared<deployment>(makeDeployment(Choices))),
        Contract(Deployment->Contracts.front()),
        Query(7, "i", {"r", "c", "body", "key", {}, {}}, Deployment, 0, false) {
    for (const char *Target : {"t0", "t1"})
      Table.recordHeld(Target, {{1, ShardsOf[1]}, {2, ShardsOf[2]}}, Now);
  }

  auto run() -> query_answer {
    apply(Query.start(Table, Now));
    for (int Step = 0; !Answer; ++Step) {
      RC_ASSERT(Step < 1000);
      Now += milliseconds(Choices.pick(20));
      if (Sent.size() == DoneCount || Choices.pick(8) == 7)
        fireTimer();
      else
        settleOne();
    }
    checkAnswer();
    for (const settlement &Late : Delivered)
      RC_ASSERT(Query.onSettlement(Late, Table, Now).empty());
    RC_ASSERT(Query.onTimer(Now + milliseconds(500)).empty());
    RC_ASSERT(!Query.nextWake());
    return *Answer;
  }

private:
  auto fireTimer() -> void {
    RC_ASSERT(Query.nextWake().has_value());
    Now = std::max(Now, *Query.nextWake());
    apply(Query.onTimer(Now));
  }

  auto settleOne() -> void {
    std::vector<sent_subrequest *> Open;
    for (sent_subrequest &Sub : Sent)
      if (!Sub.Done)
        Open.push_back(&Sub);
    sent_subrequest &Chosen = *Open[Choices.pick(Open.size())];
    const std::size_t Fault = Choices.pick(16);
    if (Fault == 13) { // duplicate
      if (!Delivered.empty())
        deliver(Delivered[Choices.pick(Delivered.size())], nullptr);
      return;
    }
    if (Fault == 14) // of another query or a later try
      return deliver(misroutedAnswer(Chosen.Request), nullptr);
    Chosen.Done = true;
    ++DoneCount;
    Chosen.Ran =
        Fault < 7 || Fault == 15 || (Fault < 10 && Choices.pick(2) == 1);
    if (Fault == 15) // lost
      return;
    deliver(settle(Chosen, Fault), &Chosen);
  }

  auto misroutedAnswer(const subrequest &Request) const -> settlement {
    settlement Other = correctAnswer(Request);
    Other.Id.Query += Choices.pick(2);
    Other.Id.Try += 1;
    Other.Items.front().Body = "crossed";
    return Other;
  }

  auto correctAnswer(const subrequest &Request) const -> settlement {
    settlement Correct;
    Correct.Id = Request.Id;
    Correct.Outcome = attempt_outcome::Answered;
    Correct.Version = Request.Version;
    Correct.Shard = Request.Shard;
    Correct.ShardCount = Request.ShardCount;
    Correct.Target = Request.Group == "s/0" ? "t0" : "t1";
    Correct.Items = {{"k", 1, tag(Request.Version, Request.Shard)}};
    Correct.Attempts = 1;
    return Correct;
  }

  static auto tag(const index_version Version, const std::size_t Shard)
      -> std::string {
    return std::to_string(Version) + "/" + std::to_string(Shard);
  }

  /// Returns the settlement for \p Fault, consistent with Chosen.Ran.
  auto settle(sent_subrequest &Chosen, const std::size_t Fault) -> settlement {
    using enum attempt_outcome;
    static constexpr attempt_outcome Outcomes[] = {
        Answered, Answered, Answered, Answered, Answered, Corrupt,     Refused,
        Crashed,  Expired,  NotSent,  NotRun,   Shed,     WrongVersion};
    settlement Settlement = correctAnswer(Chosen.Request);
    Settlement.Outcome = Outcomes[Fault];
    Settlement.ProvenNotRun =
        !Chosen.Ran && Fault != 7 && (Fault > 9 || Choices.pick(2) == 0);
    if (Fault == 9) // the dispatcher's instance was lost
      Settlement.Target.clear();
    if (Fault == 2)
      Settlement.Version = 3 - Settlement.Version;
    if (Fault == 3)
      ++(Choices.pick(2) == 0 ? Settlement.Shard : Settlement.ShardCount);
    if (Fault == 4)
      Settlement.Items.front().Score = std::nan("");
    if (Fault >= 2 && Fault != 12)
      Settlement.Items.front().Body = "wrong";
    if (Fault == 12)
      Table.recordHeld(Settlement.Target, {{1, ShardsOf[1]}}, Now);
    Chosen.AnsweredCorrectly = Fault < 2;
    if (Fault < 2 && Chosen.Live)
      AnsweredParts.insert(tag(Chosen.Request.Version, Chosen.Request.Shard));
    return Settlement;
  }

  auto deliver(const settlement Settlement, sent_subrequest *Chosen) -> void {
    if (Chosen != nullptr) {
      Attempts += Chosen->Live ? Settlement.Attempts : 0;
      Chosen->Live = false;
      Chosen->ReportedNotRun = Settlement.ProvenNotRun;
      Chosen->InDoubt = !Settlement.ProvenNotRun &&
                        !Chosen->AnsweredCorrectly &&
                        Settlement.Outcome != attempt_outcome::Refused;
    }
    Delivered.push_back(Settlement);
    apply(Query.onSettlement(Settlement, Table, Now));
  }

  auto apply(const query_actions &Actions) -> void {
    for (const query_action &Action : Actions) {
      RC_ASSERT(!Answer.has_value());
      if (const auto *Send = std::get_if<send_subrequest>(&Action))
        checkSend(Send->Request);
      if (const auto *Cancel = std::get_if<cancel_subrequest>(&Action))
        recordCancel(Cancel->Id);
      if (const auto *Finish = std::get_if<finish_query>(&Action))
        Answer = Finish->Answer;
    }
    // Live subrequests are of the present snapshot.
    for (const sent_subrequest &Sub : Sent)
      RC_ASSERT(!Sub.Live || (!Answer && Sub.Request.Version == Version) ||
                Sub.Done);
  }

  auto checkSend(const subrequest &Request) -> void {
    RC_ASSERT(Request.Deadline < time_point{} + Contract.Deadline);
    RC_ASSERT(Request.ShardCount == ShardsOf[Request.Version]);
    for (const sent_subrequest &Sub : Sent) {
      RC_ASSERT(Sub.Request.Id != Request.Id);
      const bool Again = Sub.Request.Id.Part == Request.Id.Part ||
                         Sub.Request.Version != Request.Version;
      RC_ASSERT(!Again || Contract.Repeatable || Sub.ReportedNotRun);
    }
    Version = Request.Version;
    Sent.emplace_back().Request = Request;
  }

  auto recordCancel(const subrequest_id &Id) -> void {
    for (sent_subrequest &Sub : Sent)
      if (Sub.Request.Id == Id)
        Sub.Live = false;
  }

  auto checkAnswer() const -> void {
    const coverage &Coverage = Answer->Coverage;
    std::set<std::string> Answered;
    for (const std::string &Part : AnsweredParts)
      if (Part.starts_with(std::to_string(Version) + "/"))
        Answered.insert(Part);
    RC_ASSERT(Answer->Version == Version);
    RC_ASSERT(Answer->Attempts == Attempts);
    RC_ASSERT(Coverage.Asked ==
              (Contract.Merge == merge_kind::ByKey ? 1 : ShardsOf[Version]));
    RC_ASSERT(Coverage.Answered == Answered.size());
    std::set<std::string> Listed = Answered;
    for (const missing_shard &Missing : Coverage.Missing)
      Listed.insert(tag(Version, Missing.Shard));
    RC_ASSERT(Listed.size() == Coverage.Asked);
    for (const item &Item : Answer->Items)
      RC_ASSERT(Answered.contains(Item.Body));
    RC_ASSERT(Now <= time_point{} + Contract.Deadline + milliseconds(20));
    checkCode(Coverage);
  }

  auto checkCode(const coverage &Coverage) const -> void {
    const result_code Code = Answer->Code;
    const bool AnyRan =
        std::any_of(Sent.begin(), Sent.end(),
                    [](const sent_subrequest &Sub) { return Sub.Ran; });
    const bool TooFew = Contract.Shortfall == shortfall_policy::Refuse &&
                        Coverage.share() < Contract.MinCoverage;
    RC_ASSERT((Code == result_code::Ok) == Coverage.complete());
    RC_ASSERT(!isNotRun(Code) || !AnyRan);
    RC_ASSERT(Code != result_code::Failed || AnyRan || Contract.Repeatable);
    RC_ASSERT(Code != result_code::Partial || !TooFew);
    RC_ASSERT(Code != result_code::CoverageBelowLeast ||
              (TooFew && Answer->Items.empty()));
    if (Contract.Repeatable || Coverage.complete())
      return;
    const bool InDoubt =
        std::any_of(Sent.begin(), Sent.end(),
                    [](const sent_subrequest &Sub) { return Sub.InDoubt; });
    RC_ASSERT(InDoubt == (Code == result_code::OutcomeUnknown));
  }

  choice_sequence &Choices;
  std::shared_ptr<const deployment> Deployment;
  const contract &Contract;
  scatter_query Query;
  version_table Table;
  time_point Now;
  index_version Version = 0;
  std::vector<sent_subrequest> Sent;
  std::size_t DoneCount = 0;
  std::uint32_t Attempts = 0;
  std::vector<settlement> Delivered;
  std::set<std::string> AnsweredParts;
  std::optional<query_answer> Answer;
};

} // namespace

BOOST_AUTO_TEST_CASE(keeps_its_guarantees_under_any_fault_schedule) {
  std::map<result_code, int> Codes;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Bytes) {
    choice_sequence Choices(Bytes);
    ++Codes[fault_schedule(Choices).run().Code];
  }));
  using enum result_code;
  for (const result_code Code : {Ok, Partial, CoverageBelowLeast, NotRunShed,
                                 NotRunOverload, OutcomeUnknown, Failed}) {
    BOOST_TEST_MESSAGE(resultRow(Code).Name << " " << Codes[Code]);
    BOOST_TEST(Codes[Code] > 0); // the schedules produced this code
  }
}
