#include <boost/test/unit_test.hpp>

#include "bench/core/childprocess.h"
#include "global/resultcode.h"
#include "tests/fixture.h"

#include <json/json.h>

#include <algorithm>
#include <filesystem>

using namespace std::chrono_literals;
using namespace tarragon;
using tests::system_fixture;

namespace {

constexpr auto JoinLimit = 30s;
constexpr auto PropagationLimit = 6s; // a change is in force within 6 s

auto hostOf(const address &Address) -> std::string {
  return Address.substr(0, Address.rfind(':'));
}

auto tempFile(const char *const Name) -> std::string {
  return (std::filesystem::temp_directory_path() / Name).string();
}

/// A fault proxy process that forwards to an address.
class proxied_address {
public:
  proxied_address(system_fixture &System, const address &To)
      : System(System), Listen(hostOf(To) + ":21950"),
        Control(hostOf(To) + ":21951"),
        Process(TARRAGON_FAULT_PROXY,
                {"--listen", Listen, "--to", To, "--control", Control},
                tempFile("tarragon-proxy.log")) {
    BOOST_REQUIRE(System.waitUntil([this] { return set("{}"); }, JoinLimit));
  }

  /// Sends \p Body to POST /control. Returns whether the proxy accepted it.
  auto set(const std::string &Body) -> bool {
    return System.loop()
               .call({"POST", Control, "/control", {}, Body, 1000ms})
               .Status == 200;
  }

  auto listenAddress() const -> const address & { return Listen; }

private:
  system_fixture &System;
  address Listen;
  address Control;
  bench::child_process Process;
};

auto replaced(std::string Text, const std::string &From, const std::string &To)
    -> std::string {
  const auto At = Text.find(From);
  BOOST_REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(proxies, system_fixture)

BOOST_AUTO_TEST_CASE(
    an_entry_without_the_platform_gets_changes_from_its_peers) {
  proxied_address Platform(*this, bench::platformAddress());
  BOOST_REQUIRE(Platform.set(R"({"hold_replies":true})"));
  const auto Place = cluster().entry(8);
  const bench::child_process Entry(
      TARRAGON_DAEMON,
      {"--instance", Place.Id, "--failure-domain", Place.Domain,
       "--caller-listen", Place.Caller, "--peer-listen", Place.Peer,
       "--admin-token", "bench", "--platform", Platform.listenAddress(),
       "--peers", cluster().entry(0).Peer},
      tempFile("tarragon-cut-off.log"));
  const auto Version = [this] {
    return cluster().admin(8, "/admin/v1/config")["version"].asUInt64();
  };
  BOOST_REQUIRE(waitUntil([&] { return Version() == 1; }, JoinLimit));
  bench::topology Changed = cluster().topologyPlan();
  Changed.Contracts.front().Options = "merge: top_k, deadline: 4s";
  const auto Applied =
      cluster().apply(0, bench::deploymentText(Changed), "cut-off", 1);
  BOOST_REQUIRE(Applied["state"].asString() == "accepted");
  BOOST_TEST(waitUntil([&] { return Version() == 2; }, PropagationLimit));
  const auto Answer =
      call(8, "POST", "/v1/query", R"({"contract":"search","body":"fern"})");
  BOOST_TEST(Answer["coverage"]["complete"].asBool());
}

BOOST_AUTO_TEST_CASE(truncated_answers_count_as_missing_and_not_as_empty) {
  const auto Target = cluster().targets().front();
  proxied_address Cut(*this, Target.Address);
  const std::string Text =
      replaced(bench::deploymentText(cluster().topologyPlan()), Target.Address,
               Cut.listenAddress());
  const auto Applied = cluster().apply(0, Text, "through-proxy", 1);
  BOOST_REQUIRE(Applied["state"].asString() == "accepted");
  BOOST_REQUIRE(Cut.set(R"({"drop_after_bytes":300})"));
  const auto Records = play("search", 60, 2s);
  BOOST_TEST(
      std::any_of(Records.begin(), Records.end(), [](const auto &Record) {
        return Record.Attempts > Record.Asked ||
               !Record.Complete; // some answers were cut
      }));
  const auto Violations = audit(Records);
  BOOST_TEST(Violations.CoverageErrors == 0U);
  BOOST_TEST(Violations.Mixed == 0U);
  for (const auto &Record : Records)
    BOOST_TEST(Record.Code != static_cast<int>(result_code::Internal));
}

BOOST_AUTO_TEST_SUITE_END()
