#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include "ctl/applytracker.h"
#include "ctl/commandline.h"
#include "ctl/tests/fakechannel.h"
#include "ctl/texttable.h"

#include <map>

using namespace tarragon;
using namespace tarragon::ctl;
using namespace std::chrono_literals;

namespace {

const std::map<std::string, std::string> Variables{
    {"TARRAGON_ENTRIES", "127.0.0.1:1,127.0.0.1:2"}, {"USER", "ann"}};

auto variable(const std::string &Name) -> std::optional<std::string> {
  const auto Found = Variables.find(Name);
  return Found == Variables.end() ? std::nullopt : std::optional(Found->second);
}

auto read(const std::vector<std::string> &Arguments) -> result<ctl_options> {
  return readCommandLine(Arguments, variable);
}

auto noVariable(const std::string &) -> std::optional<std::string> {
  return std::nullopt;
}

/// Returns a reply to an apply call.
auto applied(const std::string &State, const result_code Code) -> entry_reply {
  return replied("{\"state\":\"" + State +
                 "\",\"code\":" + std::to_string(static_cast<int>(Code)) + "}");
}

auto isExit(const std::optional<apply_verdict> &Verdict, const exit_code Exit)
    -> bool {
  return Verdict && Verdict->Exit == Exit;
}

} // namespace

BOOST_AUTO_TEST_CASE(flags_take_precedence_over_variables) {
  const auto FromVariables = read({"status"});
  BOOST_TEST_REQUIRE(FromVariables.has_value());
  BOOST_TEST(FromVariables.value().Entries.size() == 2U);
  BOOST_TEST(FromVariables.value().Operator == "ann");
  BOOST_TEST((FromVariables.value().Timeout == 10s));
  const auto Flags =
      read({"apply", "f.yaml", "--entry", "[::1]:9", "--timeout=300ms", "-o",
            "json", "--base", "7", "--operator", "bea", "--change-id", "x"});
  BOOST_TEST_REQUIRE(Flags.has_value());
  BOOST_TEST((Flags.value().Command == command::Apply));
  BOOST_TEST(Flags.value().File == "f.yaml");
  BOOST_TEST(Flags.value().Entries == std::vector<std::string>{"[::1]:9"},
             boost::test_tools::per_element());
  BOOST_TEST((Flags.value().Timeout == 300ms));
  BOOST_TEST((Flags.value().Output == output_format::Json));
  BOOST_TEST(Flags.value().Base.value() == 7U);
  BOOST_TEST(Flags.value().Operator == "bea");
}

BOOST_AUTO_TEST_CASE(invalid_usage_is_refused) {
  const std::vector<std::vector<std::string>> Wrong{
      {},
      {"fly"},
      {"apply"},
      {"status", "extra"},
      {"status", "--colour"},
      {"status", "--timeout", "soon"},
      {"status", "--timeout", "0s"},
      {"status", "-o", "xml"},
      {"status", "--entry", "localhost:1"},
      {"apply", "f", "--base", "x"},
      {"drain"}};
  for (const auto &Arguments : Wrong) {
    const auto Options = read(Arguments);
    BOOST_TEST_REQUIRE(!Options.has_value());
    BOOST_TEST((Options.error().Code == result_code::BadSetting));
    BOOST_TEST(!Options.error().Detail.empty());
  }
  BOOST_TEST(!readCommandLine({"status"}, noVariable).has_value());
  BOOST_TEST(readCommandLine({"validate", "f"}, noVariable).has_value());
}

BOOST_AUTO_TEST_CASE(help_lists_exit_codes_and_commands) {
  BOOST_TEST((read({"--help"}).value().Command == command::Help));
  for (const char *const Part : {"snapshot", "--once", "  4  no entry"})
    BOOST_TEST(helpText().find(Part) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(verdict_follows_the_reply) {
  BOOST_TEST(
      isExit(apply_tracker{}.record(applied("accepted", result_code::Ok)),
             exit_code::Ok));
  BOOST_TEST(isExit(apply_tracker{}.record(
                        applied("not_accepted", result_code::ForbiddenTeam)),
                    exit_code::Refused));
  BOOST_TEST(isExit(apply_tracker{}.record(
                        applied("not_accepted", result_code::ConfigUnchanged)),
                    exit_code::Ok));
  BOOST_TEST(
      !apply_tracker{}.record(applied("unknown", result_code::ReplyLost)));
}

BOOST_AUTO_TEST_CASE(a_lost_reply_leaves_the_outcome_unknown) {
  apply_tracker Tracker;
  BOOST_TEST(!Tracker.record(noReply()));
  BOOST_TEST(!Tracker.record(
      applied("not_accepted", result_code::PlatformUnavailable)));
  BOOST_TEST(
      !Tracker.record(applied("not_accepted", result_code::Unauthorized)));
  BOOST_TEST(!Tracker.record(notSent()));
  BOOST_TEST((Tracker.conclude().Exit == exit_code::Unknown));
  BOOST_TEST(isExit(
      Tracker.record(applied("not_accepted", result_code::ConfigConflict)),
      exit_code::Refused));
}

BOOST_AUTO_TEST_CASE(final_verdict_depends_on_the_replies_received) {
  apply_tracker Unreached;
  BOOST_TEST(!Unreached.record(notSent()));
  BOOST_TEST((Unreached.conclude().Exit == exit_code::Unreachable));
  apply_tracker Refused;
  BOOST_TEST(!Refused.record(
      applied("not_accepted", result_code::PlatformUnavailable)));
  BOOST_TEST(!Refused.record(notSent()));
  BOOST_TEST((Refused.conclude().Exit == exit_code::Refused));
}

BOOST_AUTO_TEST_CASE(table_aligns_columns) {
  text_table Table({"A", "LONG"});
  Table.add({"wide", "x"});
  Table.add({"y"});
  BOOST_TEST(Table.text() == "A     LONG\nwide  x\ny\n");
}
