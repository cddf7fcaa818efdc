#include "placement/coldlimiter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::placement;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr cold_limits Limits{1.5, 5};

/// Instances that all send to one cold target whenever they may: far more load
/// than it bears.
class greedy_fleet {
public:
  explicit greedy_fleet(const double Rate, std::string Target = "t")
      : Rate(Rate), Target(std::move(Target)) {}

  /// Starts an instance that is live from \p Now on.
  auto start(const std::string &Address, const time_point Now,
             const bool IsOnly = false) -> void {
    auto &Instance = Instances[Address];
    Instance = std::make_unique<member>();
    Instance->Limiter.setSelf(Address, IsOnly);
    Instance->Limiter.setLimits(Limits);
    Instance->Limiter.setRates({{"s", {Rate, 10s}}}, Now);
    Instance->StartedAt = Now;
    if (Now >= ColdAt)
      Instance->Limiter.makeCold(Target, "s", Now + 1h, true, Now);
  }

  auto stop(const std::string &Address) -> void { Instances.erase(Address); }

  auto addresses() const -> std::set<std::string> {
    std::set<std::string> All;
    for (const auto &[Address, Instance] : Instances)
      All.insert(Address);
    return All;
  }

  /// Lets \p Address see only \p Seen from now on.
  auto setView(const std::string &Address, std::set<std::string> Seen) -> void {
    Instances.at(Address)->Seen = std::move(Seen);
  }
  auto setAllViews(const std::set<std::string> &Seen) -> void {
    for (auto &[Address, Instance] : Instances)
      Instance->Seen = Seen;
  }
  /// Sets the view of each instance at a random time within \p Span.
  auto changeViewsWithin(const milliseconds Span,
                         const std::set<std::string> &Seen,
                         const time_point Now) -> void {
    std::uniform_int_distribution<std::int64_t> Delay(0, Span.count());
    for (auto &[Address, Instance] : Instances) {
      Instance->NextSeen = Seen;
      Instance->SeenAt = Now + milliseconds(Delay(Random));
    }
  }

  /// \p IsNew: the target has just started.
  auto makeCold(const time_point Now, const bool IsNew = true) -> void {
    ColdAt = Now;
    for (auto &[Address, Instance] : Instances)
      Instance->Limiter.makeCold(Target, "s", Now + 1h, IsNew, Now);
  }

  /// Runs until \p Until, where each instance tries to send every millisecond.
  auto run(const time_point From, const time_point Until) -> void {
    for (time_point Now = From; Now < Until; Now += 1ms)
      for (auto &[Address, Instance] : Instances)
        step(*Instance, Now);
  }

  auto maxPerSecond() const -> double {
    std::deque<time_point> Window;
    std::size_t Max = 0;
    for (const time_point At : Sent) {
      Window.push_back(At);
      while (At - Window.front() >= 1s)
        Window.pop_front();
      Max = std::max(Max, Window.size());
    }
    return static_cast<double>(Max);
  }
  auto bound() const -> double {
    return Rate * Limits.BurstFactor + Limits.Slack;
  }
  auto sentBetween(const time_point From, const time_point Until) const -> int {
    return static_cast<int>(
        std::count_if(Sent.begin(), Sent.end(), [&](const time_point At) {
          return At >= From && At < Until;
        }));
  }
  auto limiter(const std::string &Address) -> cold_limiter & {
    return Instances.at(Address)->Limiter;
  }

private:
  struct member {
    cold_limiter Limiter;
    std::set<std::string> Seen;
    std::optional<std::set<std::string>> NextSeen;
    time_point SeenAt;
    time_point StartedAt;
    time_point ObservedAt;
  };

  auto step(member &Instance, const time_point Now) -> void {
    if (Instance.NextSeen && Now >= Instance.SeenAt) {
      Instance.Seen = *std::exchange(Instance.NextSeen, std::nullopt);
      Instance.ObservedAt = {};
    }
    if (Now - Instance.ObservedAt >= 1s) {
      Instance.ObservedAt = Now;
      const std::vector<std::string> Seen(Instance.Seen.begin(),
                                          Instance.Seen.end());
      Instance.Limiter.observe({Seen, Seen, {}}, Now);
    }
    if (Now < ColdAt || Instance.Limiter.isHeld(Target, Now))
      return;
    Instance.Limiter.take(Target, Now);
    Sent.push_back(Now);
  }

  double Rate;
  std::string Target;
  time_point ColdAt = time_point::max();
  std::map<std::string, std::unique_ptr<member>> Instances;
  std::vector<time_point> Sent;
  std::mt19937_64 Random{7};
};

auto address(const int Number) -> std::string {
  return "10.0.0." + std::to_string(Number) + ":80";
}

auto range(const int From, const int Until) -> std::set<std::string> {
  std::set<std::string> Addresses;
  for (int Number = From; Number < Until; ++Number)
    Addresses.insert(address(Number));
  return Addresses;
}

/// When the target of a settled fleet becomes cold.
const time_point ColdAt = Start + 3s;

/// A fleet of \p Count instances that have seen each other for a while.
auto settledFleet(const int Count, const double Rate,
                  const std::string &Target = "t") -> greedy_fleet {
  greedy_fleet Fleet(Rate, Target);
  for (const std::string &Address : range(0, Count))
    Fleet.start(Address, Start, Count == 1);
  Fleet.setAllViews(range(0, Count));
  Fleet.run(Start, ColdAt);
  Fleet.makeCold(ColdAt);
  return Fleet;
}

const std::vector<double> Rates{2, 10, 40};

} // namespace

BOOST_AUTO_TEST_SUITE(coldlimiter)

// Well above its rate, a cold target crashes.
BOOST_AUTO_TEST_CASE(no_second_exceeds_the_bound) {
  for (const int Count : {1, 8, 80})
    for (const double Rate : Rates) {
      greedy_fleet Fleet = settledFleet(Count, Rate);
      Fleet.run(ColdAt, ColdAt + 9s);
      const double PerSecond =
          Fleet.sentBetween(ColdAt + 1s, ColdAt + 9s) / 8.0;
      BOOST_TEST_MESSAGE(Count << " instances, rate " << Rate << ": "
                               << PerSecond << " per second, at most "
                               << Fleet.maxPerSecond() << " of "
                               << Fleet.bound());
      BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
      BOOST_TEST(PerSecond >= 0.9 * Rate);
    }
}

// Datagrams are lost: each instance has never heard of one of the others.
BOOST_AUTO_TEST_CASE(different_views_stay_within_the_bound) {
  std::mt19937_64 Random(3);
  for (const int Count : {8, 80})
    for (const double Rate : Rates) {
      greedy_fleet Fleet(Rate);
      for (int Number = 0; Number < Count; ++Number)
        Fleet.start(address(Number), Start);
      for (int Number = 0; Number < Count; ++Number) {
        auto Seen = range(0, Count);
        Seen.erase(address(
            (Number + 1 + static_cast<int>(Random() % (Count - 1))) % Count));
        Fleet.setView(address(Number), Seen);
      }
      Fleet.run(Start, ColdAt);
      Fleet.makeCold(ColdAt);
      Fleet.run(ColdAt, ColdAt + 9s);
      BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
      BOOST_TEST(Fleet.maxPerSecond() >= 1);
    }
}

// The others learn of new instances at different times, while those that were
// chosen before still send.
BOOST_AUTO_TEST_CASE(a_doubled_fleet_stays_within_the_bound) {
  for (const int Count : {2, 4, 8, 40})
    for (const double Rate : Rates) {
      greedy_fleet Fleet = settledFleet(Count, Rate);
      Fleet.run(ColdAt, ColdAt + 2s);
      for (const std::string &Address : range(Count, 2 * Count))
        Fleet.start(Address, ColdAt + 2s);
      Fleet.changeViewsWithin(1s, range(0, 2 * Count), ColdAt + 2s);
      Fleet.run(ColdAt + 2s, ColdAt + 9s);
      BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
      BOOST_TEST(Fleet.sentBetween(ColdAt + 6s, ColdAt + 9s) >= 2.5 * Rate);
    }
}

// The new instances know all others a second before those know them, for
// targets whose chosen instances are replaced to different degrees.
BOOST_AUTO_TEST_CASE(replaced_instances_do_not_send_beside_the_new_ones) {
  for (int Number = 0; Number < 16; ++Number) {
    greedy_fleet Fleet = settledFleet(40, 40, "t" + std::to_string(Number));
    Fleet.run(ColdAt, ColdAt + 2s);
    for (const std::string &Address : range(40, 80)) {
      Fleet.start(Address, ColdAt + 2s);
      Fleet.setView(Address, range(0, 80));
    }
    Fleet.run(ColdAt + 2s, ColdAt + 3s);
    Fleet.setAllViews(range(0, 80));
    Fleet.run(ColdAt + 3s, ColdAt + 6s);
    BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
  }
}

BOOST_AUTO_TEST_CASE(a_halved_fleet_stays_within_the_bound) {
  for (const int Count : {2, 8, 16, 80}) {
    greedy_fleet Fleet = settledFleet(Count, 10);
    Fleet.run(ColdAt, ColdAt + 2s);
    for (const std::string &Address : range(Count / 2, Count))
      Fleet.stop(Address);
    Fleet.changeViewsWithin(1s, range(0, Count / 2), ColdAt + 2s);
    Fleet.run(ColdAt + 2s, ColdAt + 70s);
    BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
  }
}

// Both sides of a partition see the other side as gone, and go on sending. It
// lasts longer than instances are remembered.
BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_stay_within_the_bound) {
  for (const int Left : {1, 3, 4}) {
    greedy_fleet Fleet = settledFleet(8, 10);
    for (const std::string &Address : range(0, Left))
      Fleet.setView(Address, range(0, Left));
    for (const std::string &Address : range(Left, 8))
      Fleet.setView(Address, range(Left, 8));
    Fleet.run(ColdAt, ColdAt + 100s);
    Fleet.changeViewsWithin(1s, range(0, 8), ColdAt + 100s);
    Fleet.run(ColdAt + 100s, ColdAt + 110s);
    BOOST_TEST_MESSAGE(Left << " of 8 cut off: at most "
                            << Fleet.maxPerSecond());
    BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
  }
}

// A new process at the same address doesn't know what the earlier one sent.
BOOST_AUTO_TEST_CASE(restarts_stay_within_the_bound) {
  greedy_fleet Fleet = settledFleet(8, 10);
  Fleet.run(ColdAt, ColdAt + 2s);
  for (int Number = 0; Number < 8; ++Number) {
    const time_point Now = ColdAt + 2s + 500ms * Number;
    Fleet.stop(address(Number));
    Fleet.start(address(Number), Now);
    Fleet.run(Now, Now + 300ms);
    BOOST_TEST(Fleet.limiter(address(Number)).isHeld("t", Now + 300ms));
    Fleet.setView(address(Number), range(0, 8));
    Fleet.run(Now + 300ms, Now + 500ms);
  }
  Fleet.run(ColdAt + 6s, ColdAt + 20s);
  BOOST_TEST(Fleet.maxPerSecond() <= Fleet.bound());
  BOOST_TEST(Fleet.sentBetween(ColdAt + 10s, ColdAt + 20s) >= 90);
}

// The instance was frozen. Meanwhile the others may have taken over its share.
BOOST_AUTO_TEST_CASE(an_instance_that_stood_still_waits) {
  cold_limiter Limiter;
  Limiter.setSelf("a", false);
  Limiter.setLimits(Limits);
  Limiter.setRates({{"s", {10, 10s}}}, Start);
  const instance_view View{{"a", "b"}, {"a", "b"}, {}};
  for (int Second = 0; Second < 4; ++Second)
    Limiter.observe(View, Start + std::chrono::seconds(Second));
  Limiter.makeCold("t", "s", Start + 1h, true, Start + 4s);
  BOOST_TEST(!Limiter.isHeld("t", Start + 4s));
  Limiter.observe(View, Start + 13s);
  BOOST_TEST(Limiter.isHeld("t", Start + 13s));
  BOOST_TEST(Limiter.isHeld("t", Start + 14s));
  BOOST_TEST(!Limiter.isHeld("t", Start + 16s));
}

BOOST_AUTO_TEST_CASE(an_instance_without_peers_sends_only_if_it_is_alone) {
  for (const bool IsOnly : {false, true}) {
    cold_limiter Limiter;
    Limiter.setSelf("a", IsOnly);
    Limiter.setLimits(Limits);
    Limiter.setRates({{"s", {10, 10s}}}, Start);
    Limiter.observe({{"a"}, {"a"}, {}}, Start);
    Limiter.makeCold("t", "s", Start + 10s, true, Start);
    BOOST_TEST(Limiter.isHeld("t", Start + 5s) != IsOnly);
  }
}

BOOST_AUTO_TEST_CASE(a_service_without_a_rate_has_no_bound) {
  for (const std::optional<cold_limits> &Set :
       {std::optional<cold_limits>(), std::optional(Limits)}) {
    cold_limiter Limiter;
    Limiter.setLimits(Set);
    Limiter.setRates({{"s", {0, 10s}}}, Start);
    if (!Set)
      Limiter.setRates({{"s", {10, 10s}}}, Start);
    Limiter.makeCold("t", "s", Start + 10s, true, Start);
    BOOST_TEST(!Limiter.isHeld("t", Start));
    BOOST_TEST(Limiter.shares(Start).empty());
  }
}

BOOST_AUTO_TEST_CASE(an_instance_that_left_is_forgotten) {
  cold_limiter Limiter;
  Limiter.setSelf("a", false);
  Limiter.setLimits(Limits);
  Limiter.setRates({{"s", {10, 100s}}}, Start);
  Limiter.observe({{"a", "b"}, {"a", "b"}, {}}, Start);
  Limiter.makeCold("t", "s", Start + 1h, true, Start + 1s);
  BOOST_TEST(Limiter.shares(Start + 1s)[0].RequestsPerSecond == 5);
  for (int Second = 1; Second < 61; ++Second)
    Limiter.observe({{"a"}, {"a"}, {"b"}},
                    Start + std::chrono::seconds(Second));
  BOOST_TEST(Limiter.shares(Start + 60s)[0].RequestsPerSecond == 5);
  Limiter.observe({{"a"}, {"a"}, {}}, Start + 61s);
  BOOST_TEST(Limiter.shares(Start + 61s)[0].RequestsPerSecond == 10);
}

BOOST_AUTO_TEST_SUITE_END()
