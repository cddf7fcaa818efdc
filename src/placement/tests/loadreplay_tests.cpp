#include "placement/tests/virtualtier.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using tarragon::placement::virtual_tier;

namespace {

constexpr double Budget = 0.2;
constexpr std::size_t Shards = 10;

auto pausing(virtual_tier &Tier) -> void {
  for (std::size_t Shard = 0; Shard < Shards; ++Shard)
    for (std::size_t Replica = 0; Replica < 3; ++Replica) {
      auto &Target = Tier.targetOf(Shard, Replica);
      Target.PauseEvery = 6s;
      Target.PauseFor = 250ms;
      Target.PausePhase =
          std::chrono::milliseconds(613 * (3 * Shard + Replica) % 6000);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(loadreplay)

// Load: each target pauses for 250 ms every 6 s, at its own time.
BOOST_AUTO_TEST_CASE(pauses_stay_out_of_the_tail) {
  virtual_tier Plain(Shards, Budget, 1);
  pausing(Plain);
  virtual_tier::load Load;
  Load.Attempts = 1;
  auto Before = Plain.run(Load);
  virtual_tier Hedged(Shards, Budget, 1);
  pausing(Hedged);
  Load.Attempts = 2;
  auto After = Hedged.run(Load);
  BOOST_TEST_MESSAGE("p99 us " << Before.quantile(0.99).count() << " -> "
                               << After.quantile(0.99).count());
  BOOST_TEST(After.quantile(0.99) * 10 < Before.quantile(0.99) * 8);
  BOOST_TEST(After.within(200ms) > 0.99);
  BOOST_TEST(After.Partial * 50 < Load.Requests);
  BOOST_TEST(static_cast<double>(After.Extra) <
             Budget * Load.Requests * static_cast<double>(Shards));
}

// Load: a calm day of many shards, one of eight instances; bytes between
// failure domains cost, and a near target with a free slot serves as well.
BOOST_AUTO_TEST_CASE(calm_work_stays_in_its_domain) {
  virtual_tier Tier(36, Budget, 7, 8);
  virtual_tier::load Load;
  Load.Shards = 36;
  Load.Gap = std::chrono::microseconds(7500);
  auto Outcome = Tier.run(Load);
  const double Near =
      static_cast<double>(Outcome.SentNear) / static_cast<double>(Outcome.Sent);
  BOOST_TEST_MESSAGE("near " << Near << ", p99 us "
                             << Outcome.quantile(0.99).count());
  BOOST_TEST(Near > 0.8);
  BOOST_TEST(Outcome.quantile(0.99) < 150ms);
}

// Load: one target of each third shard is eight times as slow for the run.
BOOST_AUTO_TEST_CASE(slow_targets_are_left_alone) {
  virtual_tier Tier(Shards, Budget, 2);
  for (std::size_t Shard = 0; Shard < Shards; Shard += 3)
    Tier.targetOf(Shard, 0).Slowness = 8;
  auto Outcome = Tier.run({});
  BOOST_TEST(Outcome.quantile(0.99) < 150ms);
  BOOST_TEST(Outcome.within(200ms) > 0.99);
}

// Load: all targets of one shard go dark for four seconds.
BOOST_AUTO_TEST_CASE(a_lost_shard_costs_its_part_and_no_time) {
  virtual_tier Tier(Shards, Budget, 3);
  const auto SetDark = [&Tier](const bool Dark) {
    for (std::size_t Replica = 0; Replica < 3; ++Replica)
      Tier.targetOf(4, Replica).Dark = Dark;
  };
  Tier.at(4s, [&] { SetDark(true); });
  Tier.at(8s, [&] { SetDark(false); });
  auto Outcome = Tier.run({});
  BOOST_TEST(Outcome.Failed == 0);
  BOOST_TEST(Outcome.Refused == 0);
  BOOST_TEST(Outcome.quantile(0.99) < 200ms);
  // About 570 queries come in that time.
  BOOST_TEST(Outcome.Partial > 450);
  BOOST_TEST(Outcome.Partial < 900);
}

// Load: two shards of ten are lost, of which an answer may lack one.
BOOST_AUTO_TEST_CASE(what_cannot_be_answered_is_refused_at_once) {
  virtual_tier Tier(Shards, Budget, 4);
  Tier.at(2s, [&Tier] {
    for (std::size_t Replica = 0; Replica < 3; ++Replica) {
      Tier.targetOf(2, Replica).Dark = true;
      Tier.targetOf(7, Replica).Dark = true;
    }
  });
  virtual_tier::load Load;
  Load.Requests = 1000;
  auto Outcome = Tier.run(Load);
  // About 714 queries come after the loss.
  BOOST_TEST(Outcome.Refused > 500);
}

// Load: half of the targets shed half of what comes.
BOOST_AUTO_TEST_CASE(shedding_targets_are_avoided) {
  virtual_tier Tier(Shards, Budget, 5);
  for (std::size_t Shard = 0; Shard < Shards; ++Shard)
    for (std::size_t Replica = 0; Replica < 3; ++Replica)
      if ((3 * Shard + Replica) % 2 == 0)
        Tier.targetOf(Shard, Replica).ShedShare = 0.5;
  auto Outcome = Tier.run({});
  BOOST_TEST(Outcome.Whole + Outcome.Partial > 1900);
}

// Load: two shards of thirty-six have one target left, which can't serve all
// queries; an answer may lack one part.
BOOST_AUTO_TEST_CASE(overloaded_shards_are_left_out_by_turns) {
  constexpr std::size_t Many = 36;
  const auto Run = [](const double LeastShare) {
    virtual_tier Tier(Many, Budget, 6);
    for (const std::size_t Shard : {3, 20})
      for (const std::size_t Replica : {1, 2})
        Tier.targetOf(Shard, Replica).Dark = true;
    virtual_tier::load Load;
    Load.Shards = Many;
    Load.LeastShare = LeastShare;
    Load.Gap = std::chrono::microseconds(4500);
    return Tier.run(Load);
  };
  // Left out once a part would be late anyway; without the freedom to do so
  // both queues only grow.
  const auto Whole = Run(1.0);
  const auto Partial = Run(0.95);
  BOOST_TEST_MESSAGE("in time " << Whole.within(200ms) << " -> "
                                << Partial.within(200ms));
  BOOST_TEST(Partial.within(200ms) > 0.9);
}

// Load: eleven shards of thirty-six have lost one target and another one is
// slow, before eight instances that each know only what they learned.
BOOST_AUTO_TEST_CASE(shards_with_one_good_target_are_served_in_time) {
  constexpr std::size_t Many = 36;
  virtual_tier Tier(Many, Budget, 8, 8);
  for (std::size_t Shard = 0; Shard < 33; Shard += 3) {
    Tier.targetOf(Shard, 0).Slowness = 6.6;
    Tier.targetOf(Shard, 1).Dark = true;
  }
  virtual_tier::load Load;
  Load.Shards = Many;
  Load.LeastShare = 0.95;
  Load.Gap = std::chrono::microseconds(7500);
  auto Outcome = Tier.run(Load);
  BOOST_TEST_MESSAGE("in time " << Outcome.within(200ms));
  BOOST_TEST(Outcome.within(200ms) > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()
