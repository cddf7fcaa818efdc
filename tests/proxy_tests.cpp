#include <boost/test/unit_test.hpp>

#include "bench/core/childprocess.h"
#include "global/resultcode.h"
#include "tests/fixture.h"

#include <json/json.h>

#include <algorithm>
#include <filesystem>

using namespace std::chrono_literals;
using namespace tarragon;
using tests::started;

namespace {

constexpr auto JoinLimit = 30s;
constexpr auto SpreadLimit = 6s; // "in force within 6 s"

auto hostOf(const address &Address) -> std::string {
  return Address.substr(0, Address.rfind(':'));
}

auto tempFile(const char *const Name) -> std::string {
  return (std::filesystem::temp_directory_path() / Name).string();
}

/// A fault proxy in front of one address.
class proxied {
public:
  proxied(started &System, const address &To)
      : System(System), Listen(hostOf(To) + ":21950"),
        Control(hostOf(To) + ":21951"),
        Process(TARRAGON_FAULT_PROXY,
                {"--listen", Listen, "--to", To, "--control", Control},
                tempFile("tarragon-proxy.log")) {
    BOOST_REQUIRE(System.waitUntil([this] { return set("{}"); }, JoinLimit));
  }

  /// POST /control; whether the proxy took it.
  auto set(const std::string &Body) -> bool {
    return System.loop()
               .call({"POST", Control, "/control", {}, Body, 1000ms})
               .Status == 200;
  }

  auto front() const -> const address & { return Listen; }

private:
  started &System;
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

BOOST_FIXTURE_TEST_SUITE(proxies, started)

BOOST_AUTO_TEST_CASE(an_entry_cut_off_from_the_platform_follows_its_peers) {
  proxied Platform(*this, bench::platformAddress());
  BOOST_REQUIRE(Platform.set(R"({"hold_replies":true})"));
  const auto Place = cluster().entry(8);
  const bench::child_process Entry(
      TARRAGON_DAEMON,
      {"--instance", Place.Id, "--failure-domain", Place.Domain,
       "--caller-listen", Place.Caller, "--peer-listen", Place.Peer,
       "--admin-token", "bench", "--platform", Platform.front(), "--peers",
       cluster().entry(0).Peer},
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
  BOOST_TEST(waitUntil([&] { return Version() == 2; }, SpreadLimit));
  const auto Answer =
      call(8, "POST", "/v1/query", R"({"contract":"search","body":"fern"})");
  BOOST_TEST(Answer["coverage"]["complete"].asBool());
}

BOOST_AUTO_TEST_CASE(answers_cut_on_the_way_are_missing_never_empty) {
  const auto Target = cluster().targets().front();
  proxied Cut(*this, Target.Address);
  const std::string Text =
      replaced(bench::deploymentText(cluster().topologyPlan()), Target.Address,
               Cut.front());
  const auto Applied = cluster().apply(0, Text, "through-proxy", 1);
  BOOST_REQUIRE(Applied["state"].asString() == "accepted");
  BOOST_REQUIRE(Cut.set(R"({"drop_after_bytes":300})"));
  const auto Records = play("search", 60, 2s);
  BOOST_TEST(
      std::any_of(Records.begin(), Records.end(), [](const auto &Record) {
        return Record.Attempts > Record.Asked ||
               !Record.Complete; // cuts were met
      }));
  const auto Broken = audit(Records);
  BOOST_TEST(Broken.CoverageErrors == 0U);
  BOOST_TEST(Broken.Mixed == 0U);
  for (const auto &Record : Records)
    BOOST_TEST(Record.Code != static_cast<int>(result_code::Internal));
}

BOOST_AUTO_TEST_SUITE_END()
