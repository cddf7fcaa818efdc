#include <boost/test/unit_test.hpp>

#include "bench/core/childprocess.h"
#include "tests/fixture.h"

#include <json/value.h>

#include <csignal>
#include <filesystem>

using namespace std::chrono_literals;
using namespace tarragon;
using tests::system_fixture;

namespace {

constexpr auto ExitLimit = 30s;
constexpr auto RecoveryLimit = 20s;

auto failedCount(const std::vector<bench::call_record> &Records)
    -> std::size_t {
  std::size_t Count = 0;
  for (const auto &Record : Records)
    Count += Record.Code == 0 ? 0 : 1;
  return Count;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(entries, system_fixture)

BOOST_AUTO_TEST_CASE(no_request_fails_while_entries_are_replaced) {
  std::vector<instance_id> Leaving;
  std::vector<std::pair<milliseconds, std::function<void()>>> Actions;
  for (std::size_t Number = 0; Number < 3; ++Number) {
    Actions.emplace_back(200ms + Number * 2s, [this, Number, &Leaving] {
      cluster().startEntry(3 + Number);
      cluster().publishInstances(Leaving);
    });
    Actions.emplace_back(1200ms + Number * 2s, [this, Number, &Leaving] {
      Leaving.push_back(cluster().entry(Number).Id);
      cluster().publishInstances(Leaving);
      cluster().signalEntry(Number, SIGTERM);
    });
  }
  const auto Records = playWith("search", 40, 12s, std::move(Actions));
  BOOST_TEST(failedCount(Records) == 0U);
  for (std::size_t Number = 0; Number < 3; ++Number) {
    BOOST_REQUIRE(waitUntil(
        [&] { return cluster().entryExit(Number).has_value(); }, ExitLimit));
    BOOST_TEST(*cluster().entryExit(Number) == 0);
  }
}

BOOST_AUTO_TEST_CASE(a_paused_entry_is_unlisted_until_it_resumes) {
  const auto Listed = [this] {
    return call(1, "GET", "/v1/addresses")["addresses"].size();
  };
  cluster().signalEntry(0, SIGSTOP);
  BOOST_TEST(waitUntil([&] { return Listed() == 2U; }, RecoveryLimit));
  const auto Answer =
      call(1, "POST", "/v1/query", R"({"contract":"search","body":"fern"})");
  BOOST_TEST(Answer["coverage"]["complete"].asBool());
  cluster().signalEntry(0, SIGCONT);
  BOOST_TEST(waitUntil([&] { return Listed() == 3U; }, RecoveryLimit));
}

BOOST_AUTO_TEST_CASE(a_second_signal_stops_immediately) {
  cluster().signalEntry(0, SIGTERM);
  BOOST_REQUIRE(waitUntil(
      [this] {
        return cluster().admin(0, "/admin/v1/status")["draining"].asBool();
      },
      ExitLimit));
  cluster().signalEntry(0, SIGTERM);
  BOOST_REQUIRE(waitUntil([this] { return cluster().entryExit(0).has_value(); },
                          ExitLimit));
  BOOST_TEST(*cluster().entryExit(0) == 3);
}

BOOST_AUTO_TEST_CASE(malformed_input_gets_a_result_code) {
  const auto CodeOf = [this](const std::string &Body) {
    return call(0, "POST", "/v1/query", Body)["code"].asInt();
  };
  BOOST_TEST(CodeOf("{") == 100);
  BOOST_TEST(CodeOf(R"({"contract":"search","colour":"x"})") == 100);
  BOOST_TEST(CodeOf(R"({"contract":"none"})") == 101);
  BOOST_TEST(CodeOf(R"({"contract":"search","continuation":"x"})") == 108);
  BOOST_TEST(CodeOf(R"({"contract":"order","key":"k"})") == 109);
  BOOST_TEST(CodeOf(R"({"contract":"order","key":"k","ticket":"x"})") == 110);
  BOOST_TEST(status(0, "GET", "/nowhere") == 404);
  BOOST_TEST(status(0, "POST", "/v1/tickets?count=many") == 400);
  BOOST_TEST(status(0, "POST", "/v1/query", std::string(3000000, 'x')) == 413);
  const auto Answer =
      call(0, "POST", "/v1/query", R"({"contract":"search","body":"fern"})");
  BOOST_TEST(Answer["code"].asInt() == 0);
}

BOOST_AUTO_TEST_CASE(an_occupied_port_and_invalid_settings_abort_the_start) {
  const std::string Log =
      (std::filesystem::temp_directory_path() / "tarragon-start.log").string();
  const auto ExitOf = [&](std::vector<std::string> Arguments) {
    bench::child_process Process(TARRAGON_DAEMON, std::move(Arguments), Log);
    waitUntil([&] { return Process.exitStatus().has_value(); }, ExitLimit);
    return Process.exitStatus().value_or(-1);
  };
  BOOST_TEST(ExitOf({"--instance", "x", "--failure-domain", "d",
                     "--caller-listen", cluster().entry(0).Caller,
                     "--peer-listen", cluster().entry(7).Peer}) == 1);
  BOOST_TEST(ExitOf({"--instance", "x", "--caller-listen", "nowhere"}) == 2);
  BOOST_TEST(ExitOf({"--colour", "x"}) == 2);
  BOOST_TEST(ExitOf({"--instance", "x", "--failure-domain", "d", "--check"}) ==
             0);
  std::filesystem::remove(Log);
}

BOOST_AUTO_TEST_SUITE_END()
