#include "placement/targetset.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::placement;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr cold_limits Limits{1.5, 5};

auto coldEntry(const std::string &Id, const milliseconds ColdFor,
               const std::uint64_t Revision) -> route::target_entry {
  route::target_entry Entry;
  Entry.Id = Id;
  Entry.Service = "s";
  Entry.StartedAtMs = 1;
  Entry.ColdFor = ColdFor;
  Entry.Revision = Revision;
  return Entry;
}

/// The only instance, with a warm target "warm" and a cold one "cold".
struct cold_case {
  cold_case() {
    Targets.cold().setSelf("self", true);
    Targets.cold().setLimits(Limits);
    Targets.setColdStarts({{"s", {2, 10s}}}, Start);
    Targets.cold().observe({{"self"}, {"self"}, {}}, Start);
    put(coldEntry("cold", 5s, 1), Start);
    put(coldEntry("warm", 0ms, 2), Start);
  }

  auto put(const route::target_entry &Entry, const time_point Now) -> void {
    Targets.apply(Targets.registry().put(Entry), Now);
  }

  /// Sends a request to \p Id that is answered at once.
  auto send(const std::string &Id, const time_point Now) -> void {
    Targets.recordSent(Id, Now);
    Targets.health(Id).onEnded(attempt_end::Answered, Latency, Latency, Now);
  }

  auto chosen(const time_point Now) -> std::string {
    const auto *Target = Targets.choose("s", {"warm"}, Latency, Now);
    return Target ? Target->Id : "none";
  }

  static constexpr microseconds Latency{20000};
  target_set Targets{"zone"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(coldtargets)

BOOST_AUTO_TEST_CASE(warm_siblings_carry_what_a_cold_target_does_not_get) {
  cold_case Case;
  int Cold = 0;
  for (int Request = 0; Request < 100; ++Request) {
    const time_point Now = Start + 10ms * Request;
    const auto *Target = Case.Targets.choose("s", {}, Case.Latency, Now);
    BOOST_REQUIRE(Target);
    Case.send(Target->Id, Now);
    Cold += Target->Id == "cold" ? 1 : 0;
  }
  BOOST_TEST(Cold <= 3);
}

// Callers that are refused for lack of tokens must come back when there is one.
BOOST_AUTO_TEST_CASE(a_held_target_counts_as_down_until_the_next_token) {
  cold_case Case;
  Case.Targets.apply(Case.Targets.registry().markLeaving("warm", 1), Start);
  BOOST_TEST(!Case.Targets.isServiceDown("s", Case.Latency, Start));
  BOOST_REQUIRE(Case.chosen(Start) == "cold");
  Case.send("cold", Start);
  BOOST_TEST(Case.chosen(Start) == "none");
  BOOST_TEST(Case.Targets.isServiceDown("s", Case.Latency, Start));
  BOOST_TEST(!Case.Targets.reopensAt("s", Start).has_value());
  BOOST_TEST((Case.Targets.retryDelay("s", Start) == 500ms));
  BOOST_TEST((Case.Targets.expectedLatency("s", Case.Latency, Start) > 1min));
  BOOST_TEST(Case.chosen(Start + 490ms) == "none");
  BOOST_TEST(Case.chosen(Start + 501ms) == "cold");
  Case.send("cold", Start + 4900ms);
  BOOST_TEST((Case.Targets.retryDelay("s", Start + 4900ms) == 100ms));
  Case.send("cold", Start + 5s);
  BOOST_TEST(Case.chosen(Start + 5s) == "cold"); // warm by now
}

BOOST_AUTO_TEST_CASE(a_misdirected_attempt_returns_its_token) {
  cold_case Case;
  Case.send("cold", Start);
  BOOST_REQUIRE(Case.chosen(Start) == "none");
  Case.Targets.cold().refund("cold", Start);
  BOOST_TEST(!Case.Targets.cold().isHeld("cold", Start));
  Case.Targets.cold().refund("cold", Start);
  Case.send("cold", Start);
  BOOST_TEST(Case.Targets.cold().isHeld("cold", Start));
}

// A target's caches may be dropped without a restart. What it got just before
// counts too.
BOOST_AUTO_TEST_CASE(an_entry_makes_a_target_cold_again) {
  cold_case Case;
  const time_point Later = Start + 1min;
  BOOST_REQUIRE(Case.chosen(Later) == "cold"); // its time has passed
  Case.put(coldEntry("cold", 4s, 9), Later);
  BOOST_TEST(Case.chosen(Later) == "none");
  BOOST_TEST(Case.chosen(Later + 501ms) == "cold");
  Case.send("cold", Later + 501ms);
  Case.put(coldEntry("cold", 4s, 10), Later + 3s);
  const auto Shares = Case.Targets.cold().shares(Later + 3s);
  BOOST_REQUIRE(Shares.size() == 1U);
  BOOST_TEST((Shares[0].Remaining == 4s));
  // A complete list from a peer repeats the entry.
  Case.Targets.apply(Case.Targets.registry().replaceAll(
                         {coldEntry("cold", 4s, 10)}, Later + 1h),
                     Later + 6s);
  BOOST_TEST((Case.Targets.cold().shares(Later + 6s)[0].Remaining == 1s));
  BOOST_TEST(Case.Targets.cold().shares(Later + 7s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
