#include <boost/test/unit_test.hpp>

#include "global/json.h"
#include "global/resultcode.h"
#include "tests/fixture.h"

#include <json/value.h>

#include <algorithm>
#include <csignal>

using namespace std::chrono_literals;
using namespace tarragon;
using tests::system_fixture;

namespace {

constexpr int Ok = static_cast<int>(result_code::Ok);
constexpr int Unknown = static_cast<int>(result_code::OutcomeUnknown);
constexpr auto ExitLimit = 30s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(once, system_fixture)

BOOST_AUTO_TEST_CASE(
    a_resend_to_any_instance_gets_the_same_answer_without_a_run) {
  const std::string Ticket = requestTicket(0);
  const auto First = order(0, Ticket, "order-1");
  const auto Same = order(0, Ticket, "order-1");
  const auto Other = order(1, Ticket, "order-1");
  BOOST_TEST(First["code"].asInt() == Ok);
  BOOST_TEST((Same["items"] == First["items"]));
  BOOST_TEST((Other["items"] == First["items"]));
  BOOST_TEST(countRuns("order-1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_ticket_serves_one_request_only) {
  const std::string Ticket = requestTicket(0);
  order(0, Ticket, "order-2");
  BOOST_TEST(order(0, Ticket, "order-3")["code"].asInt() ==
             static_cast<int>(result_code::TicketMismatch));
  BOOST_TEST(countRuns("order-3") == 0U);
}

BOOST_AUTO_TEST_CASE(concurrent_senders_of_a_ticket_get_their_own_request_ids) {
  const std::string Ticket = requestTicket(0);
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
  BOOST_TEST(countRuns("order-8") == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_joins_in_an_outage_does_not_repeat_a_run) {
  const std::string Ticket = requestTicket(0);
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
  BOOST_TEST(countRuns("order-9") == 1U);
}

BOOST_AUTO_TEST_CASE(the_tickets_of_a_paused_instance_are_not_taken_over) {
  const std::string Ticket = requestTicket(0);
  cluster().signalEntry(0, SIGSTOP);
  const auto Resent = order(1, Ticket, "order-4");
  BOOST_TEST(Resent["code"].asInt() == Unknown);
  cluster().signalEntry(0, SIGCONT);
  const auto Late = order(2, Ticket, "order-4");
  BOOST_TEST((Late["code"].asInt() == Ok || Late["code"].asInt() == Unknown));
  BOOST_TEST(countRuns("order-4") <= 1U);
}

BOOST_AUTO_TEST_CASE(
    the_outcome_is_unknown_after_the_issuing_instance_is_killed) {
  const std::string Ticket = requestTicket(0);
  order(0, Ticket, "order-5");
  cluster().signalEntry(0, SIGKILL);
  BOOST_TEST(order(1, Ticket, "order-5")["code"].asInt() == Unknown);
  cluster().startEntry(0);
  BOOST_REQUIRE(cluster().waitEntry(0, 20s));
  BOOST_TEST(order(0, Ticket, "order-5")["code"].asInt() == Unknown);
  BOOST_TEST(countRuns("order-5") == 1U);
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_hands_over_its_answers) {
  const std::string Used = requestTicket(0);
  const std::string Unused = requestTicket(0);
  const auto First = order(0, Used, "order-6");
  BOOST_REQUIRE(First["code"].asInt() == Ok);
  cluster().signalEntry(0, SIGTERM);
  BOOST_REQUIRE(waitUntil([this] { return cluster().entryExit(0).has_value(); },
                          ExitLimit));
  BOOST_TEST(*cluster().entryExit(0) == 0);
  BOOST_TEST((order(1, Used, "order-6")["items"] == First["items"]));
  BOOST_TEST(order(2, Unused, "order-7")["code"].asInt() ==
             static_cast<int>(result_code::NotRunTicketRetired));
  BOOST_TEST(countRuns("order-6") == 1U);
  BOOST_TEST(countRuns("order-7") == 0U);
}

BOOST_AUTO_TEST_CASE(orders_run_at_most_once_under_faults) {
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
  const auto Violations = audit(Records);
  BOOST_TEST(Violations.RunTwice == 0U);
  BOOST_TEST(Violations.FalseNotRun == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
