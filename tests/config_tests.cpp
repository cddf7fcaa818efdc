#include <boost/test/unit_test.hpp>

#include "global/json.h"
#include "tests/fixture.h"

#include <json/json.h>

using namespace std::chrono_literals;
using namespace tarragon;
using tests::system_fixture;

namespace {

constexpr auto PropagationLimit = 6s; // a change is in force within 6 s
constexpr auto JoinLimit = 20s;
constexpr int Rounds = 15;

/// Returns a deployment file that is unique by its contract's deadline.
auto textWith(bench::topology Topology, const int Number) -> std::string {
  Topology.Contracts.front().Options =
      "merge: top_k, limit: 10, deadline: " + std::to_string(5000 + Number) +
      "ms";
  return bench::deploymentText(Topology);
}

auto changeId(const int Round, const std::size_t Entry) -> std::string {
  return "race-" + std::to_string(Round) + "-" + std::to_string(Entry);
}

struct config_fixture : system_fixture {
  auto versionAt(const std::size_t Entry) -> std::uint64_t {
    return cluster().admin(Entry, "/admin/v1/config")["version"].asUInt64();
  }

  auto changeInForce(const std::size_t Entry) -> std::string {
    return cluster().admin(Entry, "/admin/v1/config")["change_id"].asString();
  }

  auto inForceEverywhere(const std::uint64_t Version) -> bool {
    return waitUntil(
        [&] {
          for (std::size_t Entry = 0; Entry < cluster().entryCount(); ++Entry)
            if (versionAt(Entry) < Version)
              return false;
          return true;
        },
        PropagationLimit);
  }

  /// Sends a change with the same base to each of the three entries at once and
  /// returns the answers.
  auto race(const std::uint64_t Base, const int Round)
      -> std::vector<Json::Value> {
    std::vector<Json::Value> Answers(3);
    for (std::size_t Entry = 0; Entry < Answers.size(); ++Entry) {
      const int Number = Round * 10 + static_cast<int>(Entry);
      Json::Value Body;
      Body["text"] = textWith(cluster().topologyPlan(), Number);
      Body["change_id"] = changeId(Round, Entry);
      Body["operator"] = "operator-" + std::to_string(Entry);
      Body["base"] = Json::UInt64{Base};
      loop().start({"POST",
                    cluster().entry(Entry).Caller,
                    "/admin/v1/apply",
                    {"Authorization: Bearer bench"},
                    writeJson(Body),
                    30s},
                   [&Answers, Entry](const bench::http_answer &Answer) {
                     const auto Parsed = parseJson(Answer.Body);
                     if (Parsed)
                       Answers[Entry] = Parsed.value();
                   });
    }
    loop().runUntilIdle(std::chrono::steady_clock::now() + 40s);
    return Answers;
  }
};

auto countState(const std::vector<Json::Value> &Answers, const char *State)
    -> std::size_t {
  std::size_t Count = 0;
  for (const Json::Value &Answer : Answers)
    Count += Answer["state"].asString() == State ? 1 : 0;
  return Count;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration, config_fixture)

BOOST_AUTO_TEST_CASE(
    at_most_one_concurrent_change_is_accepted_despite_lost_replies) {
  cluster().controlPlatform("/control/faults", R"({"drop_reply_every":4})");
  std::uint64_t Version = 1;
  for (int Round = 1; Round <= Rounds; ++Round) {
    const auto Answers = race(Version, Round);
    const std::size_t Accepted = countState(Answers, "accepted");
    BOOST_TEST(Accepted <= 1U);
    BOOST_REQUIRE(inForceEverywhere(Version + Accepted));
    const std::uint64_t Now = versionAt(0);
    // Only accepted changes and changes with an unknown outcome may take
    // effect.
    BOOST_TEST(Now <= Version + Accepted + countState(Answers, "unknown"));
    BOOST_TEST(Now >= Version + Accepted);
    // A change answered as not accepted is in force nowhere.
    for (std::size_t Entry = 0; Entry < Answers.size(); ++Entry)
      for (std::size_t At = 0; At < Answers.size(); ++At)
        if (Answers[Entry]["state"].asString() == "not_accepted")
          BOOST_TEST(changeInForce(At) != changeId(Round, Entry));
    Version = Now;
  }
  BOOST_TEST(Version > 1U);
}

BOOST_AUTO_TEST_CASE(a_change_accepted_before_an_outage_reaches_all_instances) {
  const auto Answer = cluster().apply(0, textWith(cluster().topologyPlan(), 1),
                                      "before-outage", 1);
  BOOST_REQUIRE(Answer["state"].asString() == "accepted");
  cluster().controlPlatform("/control/faults", R"({"down":true})");
  BOOST_TEST(inForceEverywhere(2));
}

BOOST_AUTO_TEST_CASE(queries_run_and_entries_join_during_an_outage) {
  cluster().controlPlatform("/control/faults", R"({"down":true})");
  const auto Records = play("search", 40, 1s);
  for (const auto &Record : Records)
    BOOST_TEST(Record.Complete);
  const auto Refused =
      cluster().apply(0, textWith(cluster().topologyPlan(), 2), "in-outage", 1);
  BOOST_TEST(Refused["state"].asString() != "accepted");
  cluster().startEntry(3);
  BOOST_REQUIRE(cluster().waitEntry(3, JoinLimit));
  const auto Answer =
      call(3, "POST", "/v1/query", R"({"contract":"search","body":"fern"})");
  BOOST_TEST(Answer["coverage"]["complete"].asBool());
}

BOOST_AUTO_TEST_CASE(admin_calls_require_the_admin_token) {
  BOOST_TEST(status(0, "GET", "/admin/v1/status") == 401);
  BOOST_TEST(status(0, "GET", "/admin/v1/status", "",
                    {"Authorization: Bearer wrong"}) == 401);
  BOOST_TEST(status(0, "GET", "/admin/v1/status", "",
                    {"Authorization: Bearer bench"}) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
