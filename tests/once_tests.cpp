#include <boost/test/unit_test.hpp>

#include "global/json.h"
#include "global/resultcode.h"
#include "tests/fixture.h"

#include <json/value.h>

#include <algorithm>
#include <csignal>

using namespace std::chrono_literals;
using namespace tarragon;
using tests::started;

namespace {

constexpr int Ok = static_cast<int>(result_code::Ok);
constexpr int Unknown = static_cast<int>(result_code::OutcomeUnknown);
constexpr auto ExitLimit = 30s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(once, started)

BOOST_AUTO_TEST_CASE(a_resend_anywhere_gets_the_same_answer_without_a_run) {
  const std::string Ticket = ticketAt(0);
  const auto First = order(0, Ticket, "order-1");
  const auto Same = order(0, Ticket, "order-1");
  const auto Other = order(1, Ticket, "order-1");
  BOOST_TEST(First["code"].asInt() == Ok);
  BOOST_TEST((Same["items"] == First["items"]));
  BOOST_TEST((Other["items"] == First["items"]));
  BOOST_TEST(runsOf("order-1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_ticket_serves_one_request_only) {
  const std::string Ticket = ticketAt(0);
  order(0, Ticket, "order-2");
  BOOST_TEST(order(0, Ticket, "order-3")["code"].asInt() ==
             static_cast<int>(result_code::TicketMismatch));
  BOOST_TEST(runsOf("order-3") == 0U);
}

BOOST_AUTO_TEST_CASE(senders_of_one_ticket_are_answered_under_their_own_ids) {
  const std::string Ticket = ticketAt(0);
  std::vector<std::string> Ids(4);
  for (std::size_t Sender = 0; Sender < Ids.size(); ++Sender) {
    const std::string Body =
        R"({"contract":"order","key":"k","body":"order-8","request_id":"r)" +
        std::to_string(Sender) + R"(","ticket":")" + Ticket + R"("})";
    loop().start(
        {"POST", cluster().entry(0).Caller, "/v1/query", {}, Body, 10s},
        [&Ids, Sender](const bench::http_answer &Answer) {
          const auto Parsed = parseJson(Answer.Body);
          if (Parsed)
            Ids[Sender] = Parsed.value()["request_id"].asString();
        });
  }
  loop().runUntilIdle(std::chrono::steady_clock::now() + 20s);
  for (std::size_t Sender = 0; Sender < Ids.size(); ++Sender)
    BOOST_TEST(Ids[Sender] == "r" + std::to_string(Sender));
  BOOST_TEST(runsOf("order-8") == 1U);
}

BOOST_AUTO_TEST_CASE(a_holder_is_asked_also_by_one_that_knows_nothing) {
  const std::string Ticket = ticketAt(0);
  const auto First = order(0, Ticket, "order-9");
  BOOST_REQUIRE(First["code"].asInt() == Ok);
  cluster().controlPlatform("/control/faults", R"({"down":true})");
  cluster().startEntry(3);
  Json::Value Early;
  BOOST_REQUIRE(waitUntil(
      [&] {
        Early = order(3, Ticket, "order-9");
        return !Early.isNull();
      },
      ExitLimit));
  const int Code = Early["code"].asInt();
  BOOST_TEST((Code == Ok || Code == Unknown));
  BOOST_TEST(runsOf("order-9") == 1U);
}

BOOST_AUTO_TEST_CASE(a_paused_holder_is_never_taken_over) {
  const std::string Ticket = ticketAt(0);
  cluster().signalEntry(0, SIGSTOP);
  const auto Resent = order(1, Ticket, "order-4");
  BOOST_TEST(Resent["code"].asInt() == Unknown);
  cluster().signalEntry(0, SIGCONT);
  const auto Late = order(2, Ticket, "order-4");
  BOOST_TEST((Late["code"].asInt() == Ok || Late["code"].asInt() == Unknown));
  BOOST_TEST(runsOf("order-4") <= 1U);
}

BOOST_AUTO_TEST_CASE(a_killed_holder_leaves_the_outcome_unknown) {
  const std::string Ticket = ticketAt(0);
  order(0, Ticket, "order-5");
  cluster().signalEntry(0, SIGKILL);
  BOOST_TEST(order(1, Ticket, "order-5")["code"].asInt() == Unknown);
  cluster().startEntry(0);
  BOOST_REQUIRE(cluster().waitEntry(0, 20s));
  BOOST_TEST(order(0, Ticket, "order-5")["code"].asInt() == Unknown);
  BOOST_TEST(runsOf("order-5") == 1U);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_hands_its_answers_over) {
  const std::string Used = ticketAt(0);
  const std::string Unused = ticketAt(0);
  const auto First = order(0, Used, "order-6");
  BOOST_REQUIRE(First["code"].asInt() == Ok);
  cluster().signalEntry(0, SIGTERM);
  BOOST_REQUIRE(waitUntil([this] { return cluster().entryExit(0).has_value(); },
                          ExitLimit));
  BOOST_TEST(*cluster().entryExit(0) == 0);
  BOOST_TEST((order(1, Used, "order-6")["items"] == First["items"]));
  BOOST_TEST(order(2, Unused, "order-7")["code"].asInt() ==
             static_cast<int>(result_code::NotRunTicketRetired));
  BOOST_TEST(runsOf("order-6") == 1U);
  BOOST_TEST(runsOf("order-7") == 0U);
}

BOOST_AUTO_TEST_CASE(orders_run_at_most_once_through_faults) {
  const auto Records = playWith(
      "order", 60, 4s,
      {{300ms, [this] { cluster().postTarget(0, R"({"cut_every":5})"); }},
       {600ms, [this] { cluster().killTarget(1); }},
       {1000ms, [this] { cluster().signalEntry(0, SIGSTOP); }},
       {2500ms, [this] { cluster().signalEntry(0, SIGCONT); }},
       {3000ms, [this] { cluster().signalEntry(1, SIGKILL); }}});
  BOOST_TEST(std::any_of(Records.begin(), Records.end(),
                         [](const auto &Record) { return Record.Code == Ok; }));
  BOOST_TEST(std::any_of(Records.begin(), Records.end(),
                         [](const auto &Record) { return Record.Code != Ok; }));
  const auto Broken = audit(Records);
  BOOST_TEST(Broken.RunTwice == 0U);
  BOOST_TEST(Broken.FalseNotRun == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
