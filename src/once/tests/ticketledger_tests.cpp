#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "once/ticketledger.h"
#include "query/tests/choicesequence.h"

#include <set>

using namespace tarragon;
using namespace tarragon::once;
using tarragon::test::choice_sequence;

namespace {

constexpr milliseconds Lifetime{1000};

auto codeOf(const ledger_verdict &Verdict) -> std::optional<result_code> {
  if (const auto *Replay = std::get_if<replay_answer>(&Verdict))
    return Replay->Answer.Code;
  return std::nullopt;
}

auto answerOf(const result_code Code) -> query_answer {
  query_answer Answer;
  Answer.Code = Code;
  return Answer;
}

/// Three instances that crash, drain and hand over their ledgers, and callers
/// that resend tickets to any instance.
class resend_schedule {
public:
  explicit resend_schedule(choice_sequence &Choices) : Choices(Choices) {
    for (const char *Instance : {"a", "b", "c"})
      Ledgers.emplace(Instance, makeLedger(Instance));
  }

  auto run(std::map<result_code, int> &Codes) -> void {
    while (!Choices.exhausted()) {
      Now += milliseconds(Choices.pick(80));
      step();
    }
    for (const auto &[Code, Count] : ReplayCounts)
      Codes[Code] += Count;
  }

private:
  auto makeLedger(const instance_id &Instance) -> ticket_ledger {
    return {Instance, ++Incarnations[Instance], Now, Lifetime};
  }

  auto randomLedger() -> ticket_ledger & {
    return std::next(Ledgers.begin(),
                     static_cast<std::ptrdiff_t>(Choices.pick(Ledgers.size())))
        ->second;
  }

  auto step() -> void {
    switch (Choices.pick(9)) {
    case 0:
      for (const ticket &Ticket : randomLedger().issue(2, Now))
        Tickets.push_back(Ticket);
      return;
    case 1:
      return finishOne();
    case 2: // crash or restart, also after a sealed ledger was handed over
      return restart();
    case 3:
      randomLedger().seal();
      return;
    case 4: // a copy taken in any state must be safe to adopt
      return randomLedger().adopt(randomLedger().sealedCopy(), Now);
    case 5:
      return randomLedger().expire(Now);
    default:
      return presentTicket();
    }
  }

  auto restart() -> void {
    const auto At = std::next(Ledgers.begin(),
                              static_cast<std::ptrdiff_t>(Choices.pick(3)));
    At->second = makeLedger(At->first);
  }

  auto finishOne() -> void {
    if (Running.empty())
      return;
    const ticket Ticket = Running.back();
    Running.pop_back();
    const std::string Name = formatTicket(Ticket);
    const bool Ran = Choices.pick(4) != 1;
    NeverRan[Name] = !Ran;
    Answers[Name] =
        answerOf(Ran ? result_code::Ok : result_code::NotRunOverload);
    if (Ticket.Incarnation == Incarnations[Ticket.Instance])
      Ledgers.at(Ticket.Instance).finish(Ticket, Answers[Name], Now);
  }

  auto presentTicket() -> void {
    if (Tickets.empty())
      return;
    ticket Ticket = Tickets[Choices.pick(Tickets.size())];
    const std::size_t Choice = Choices.pick(12);
    if (Choice == 10)
      Ticket.IssuedAfterStart += milliseconds(300);
    if (Choice == 11)
      Ticket.Number += 1000;
    const fingerprint Fingerprint = Choices.pick(5) == 4 ? 2 : 1;
    ledger_verdict Verdict = randomLedger().begin(Ticket, Fingerprint, Now);
    if (const auto *Forward = std::get_if<forward_to>(&Verdict))
      Verdict =
          Forward->Incarnation == Incarnations[Forward->Instance]
              ? Ledgers.at(Forward->Instance).begin(Ticket, Fingerprint, Now)
              : replay_answer{answerOf(result_code::OutcomeUnknown)};
    if (std::holds_alternative<run_now>(Verdict))
      return begin(Ticket, Fingerprint, Choice >= 10);
    check(Ticket, Fingerprint, Verdict);
  }

  auto begin(const ticket &Ticket, const fingerprint Fingerprint,
             const bool Forged) -> void {
    RC_ASSERT(!Forged);
    const std::string Name = formatTicket(Ticket);
    RC_ASSERT(!Used.contains(Name)); // at most one run
    RC_ASSERT(!ReportedNotRun.contains(Name));
    Used[Name] = Fingerprint;
    Running.push_back(Ticket);
  }

  auto check(const ticket &Ticket, const fingerprint Fingerprint,
             const ledger_verdict &Verdict) -> void {
    const auto Code = codeOf(Verdict);
    if (!Code) {
      RC_ASSERT(std::count(Running.begin(), Running.end(), Ticket) == 1);
      return;
    }
    ++ReplayCounts[*Code];
    const std::string Name = formatTicket(Ticket);
    const auto Use = Used.find(Name);
    if (isNotRun(*Code)) {
      RC_ASSERT(Use == Used.end() || NeverRan[Name]);
      ReportedNotRun.insert(Name);
    }
    if (*Code == result_code::TicketMismatch) {
      RC_ASSERT(Use != Used.end());
      RC_ASSERT(Use->second != Fingerprint);
    }
    if (*Code == result_code::Ok) {
      RC_ASSERT(Use != Used.end());
      RC_ASSERT(Use->second == Fingerprint);
      RC_ASSERT(Answers.at(Name).Code == result_code::Ok);
    }
  }

  choice_sequence &Choices;
  time_point Now;
  std::map<instance_id, incarnation> Incarnations;
  std::map<instance_id, ticket_ledger> Ledgers;
  std::vector<ticket> Tickets;
  std::map<std::string, fingerprint> Used;
  std::vector<ticket> Running;
  std::set<std::string> ReportedNotRun; ///< replayed with a not-run code
  std::map<std::string, bool> NeverRan;
  std::map<std::string, query_answer> Answers;
  std::map<result_code, int> ReplayCounts;
};

} // namespace

BOOST_AUTO_TEST_CASE(at_most_one_run_and_no_false_not_run) {
  std::map<result_code, int> Codes;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Bytes) {
    choice_sequence Choices(Bytes);
    resend_schedule(Choices).run(Codes);
  }));
  using enum result_code;
  for (const result_code Code :
       {Ok, MalformedTicket, TicketMismatch, NotRunOverload, NotRunDraining,
        NotRunTicketRetired, OutcomeUnknown}) {
    BOOST_TEST_MESSAGE(resultRow(Code).Name << " " << Codes[Code]);
    BOOST_TEST(Codes[Code] > 0); // the schedules produced this code
  }
}

BOOST_AUTO_TEST_CASE(ticket_text_has_one_valid_spelling) {
  const ticket Ticket{"eu.west-1", 7, milliseconds(1500), 42};
  BOOST_TEST(formatTicket(Ticket) == "eu.west-1.7.1500.42");
  BOOST_TEST((parseTicket("eu.west-1.7.1500.42") == Ticket));
  for (const char *Text :
       {"", "a", "a.1.2", ".1.2.3", "a.1.2.", "a.1.2.-3", "a.1.2.03",
        "a.1.2.3 ", "a.1.2.0x3", "a.1.9223372036854775808.3",
        "a.1.2.18446744073709551616"})
    BOOST_TEST(!parseTicket(Text).has_value(), Text);
}

BOOST_AUTO_TEST_CASE(an_unused_ticket_expires_and_is_forgotten_later) {
  time_point Now;
  ticket_ledger Ledger("a", 1, Now, Lifetime);
  const ticket Used = Ledger.issue(2, Now).front();
  ticket Unused = Used;
  ++Unused.Number;
  Now += Lifetime;
  BOOST_TEST(std::holds_alternative<run_now>(Ledger.begin(Used, 1, Now)));
  Now += milliseconds(1);
  BOOST_TEST((codeOf(Ledger.begin(Unused, 1, Now)) ==
              result_code::NotRunTicketRetired));
  Now += Lifetime;
  Ledger.expire(Now); // also drops a running ticket
  BOOST_TEST(Ledger.size() == 0U);
  for (const ticket &Ticket : {Used, Unused})
    BOOST_TEST(
        (codeOf(Ledger.begin(Ticket, 1, Now)) == result_code::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(a_running_ticket_is_handed_over_as_outcome_unknown) {
  const time_point Now;
  ticket_ledger Leaving("a", 1, Now, Lifetime);
  ticket_ledger Next("b", 1, Now, Lifetime);
  const ticket Ticket = Leaving.issue(1, Now).front();
  Leaving.begin(Ticket, 1, Now);
  Leaving.seal();
  BOOST_TEST(!Leaving.isFinal());
  BOOST_TEST(Leaving.issue(1, Now).empty());
  Next.adopt(Leaving.sealedCopy(), Now);
  BOOST_TEST(
      (codeOf(Next.begin(Ticket, 1, Now)) == result_code::OutcomeUnknown));
  Leaving.finish(Ticket, answerOf(result_code::Ok), Now);
  Leaving.finish(Ticket, answerOf(result_code::Failed), Now);
  BOOST_TEST(Leaving.isFinal());
  Next.adopt(Leaving.sealedCopy(), Now);
  BOOST_TEST((codeOf(Next.begin(Ticket, 1, Now)) == result_code::Ok));
  ticket_ledger Newer("a", 2, Now, Lifetime);
  BOOST_TEST(
      (codeOf(Newer.begin(Ticket, 1, Now)) == result_code::OutcomeUnknown));
  Next.expire(Now + 3 * Lifetime);
  BOOST_TEST(std::holds_alternative<forward_to>(Next.begin(Ticket, 1, Now)));
}

BOOST_AUTO_TEST_CASE(issues_no_more_tickets_than_it_can_remember) {
  time_point Now;
  ticket_ledger Ledger("a", 1, Now, Lifetime);
  BOOST_TEST(Ledger.issue(std::size_t{1} << 21U, Now).size() == 1U << 20U);
  BOOST_TEST(Ledger.issue(1, Now).empty());
  Now += 3 * Lifetime;
  Ledger.expire(Now);
  BOOST_TEST(Ledger.issue(1, Now).size() == 1U);
}
