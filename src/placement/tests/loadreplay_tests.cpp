#include "placement/tests/virtualtier.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using tarragon::placement::virtual_tier;

namespace {

constexpr double Budget = 0.2;
constexpr std::size_t Shards = 10;

auto configurePauses(virtual_tier &Tier) -> void {
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

// Each target pauses for 250 ms every 6 s, at its own phase.
BOOST_AUTO_TEST_CASE(hedging_keeps_pauses_out_of_the_tail_latency) {
  virtual_tier Unhedged(Shards, Budget, 1);
  configurePauses(Unhedged);
  virtual_tier::load Load;
  Load.MaxAttempts = 1;
  auto Before = Unhedged.run(Load);
  virtual_tier Hedged(Shards, Budget, 1);
  configurePauses(Hedged);
  Load.MaxAttempts = 2;
  auto After = Hedged.run(Load);
  BOOST_TEST_MESSAGE("p99 us " << Before.quantile(0.99).count() << " -> "
                               << After.quantile(0.99).count());
  BOOST_TEST(After.quantile(0.99) * 10 < Before.quantile(0.99) * 8);
  BOOST_TEST(After.within(200ms) > 0.99);
  BOOST_TEST(After.Partial * 50 < Load.Requests);
  BOOST_TEST(static_cast<double>(After.Extra) <
             Budget * Load.Requests * static_cast<double>(Shards));
}

// Low load on many shards, from eight instances: traffic between failure
// domains is costly, and a target of the own domain with a free slot serves as
// well as any other.
BOOST_AUTO_TEST_CASE(attempts_stay_in_the_own_domain_at_low_load) {
  virtual_tier Tier(36, Budget, 7, 8);
  virtual_tier::load Load;
  Load.Shards = 36;
  Load.ArrivalInterval = std::chrono::microseconds(7500);
  auto Outcome = Tier.run(Load);
  const double OwnDomainShare = static_cast<double>(Outcome.SentOwnDomain) /
                                static_cast<double>(Outcome.Sent);
  BOOST_TEST_MESSAGE("own-domain share " << OwnDomainShare << ", p99 us "
                                         << Outcome.quantile(0.99).count());
  BOOST_TEST(OwnDomainShare > 0.8);
  BOOST_TEST(Outcome.quantile(0.99) < 150ms);
}

// One target of every third shard is eight times as slow during the run.
BOOST_AUTO_TEST_CASE(slow_targets_are_avoided) {
  virtual_tier Tier(Shards, Budget, 2);
  for (std::size_t Shard = 0; Shard < Shards; Shard += 3)
    Tier.targetOf(Shard, 0).Slowness = 8;
  auto Outcome = Tier.run({});
  BOOST_TEST(Outcome.quantile(0.99) < 150ms);
  BOOST_TEST(Outcome.within(200ms) > 0.99);
}

// All targets of one shard stop answering for four seconds.
BOOST_AUTO_TEST_CASE(a_shard_without_targets_costs_its_part_but_no_latency) {
  virtual_tier Tier(Shards, Budget, 3);
  const auto SetUnresponsive = [&Tier](const bool Unresponsive) {
    for (std::size_t Replica = 0; Replica < 3; ++Replica)
      Tier.targetOf(4, Replica).Unresponsive = Unresponsive;
  };
  Tier.at(4s, [&] { SetUnresponsive(true); });
  Tier.at(8s, [&] { SetUnresponsive(false); });
  auto Outcome = Tier.run({});
  BOOST_TEST(Outcome.Failed == 0);
  BOOST_TEST(Outcome.Refused == 0);
  BOOST_TEST(Outcome.quantile(0.99) < 200ms);
  // About 570 requests arrive in that time.
  BOOST_TEST(Outcome.Partial > 450);
  BOOST_TEST(Outcome.Partial < 900);
}

// Two of ten shards lose all targets; an answer may lack one part.
BOOST_AUTO_TEST_CASE(unanswerable_requests_are_refused_immediately) {
  virtual_tier Tier(Shards, Budget, 4);
  Tier.at(2s, [&Tier] {
    for (std::size_t Replica = 0; Replica < 3; ++Replica) {
      Tier.targetOf(2, Replica).Unresponsive = true;
      Tier.targetOf(7, Replica).Unresponsive = true;
    }
  });
  virtual_tier::load Load;
  Load.Requests = 1000;
  auto Outcome = Tier.run(Load);
  // About 714 requests arrive after that.
  BOOST_TEST(Outcome.Refused > 500);
}

// Half of the targets shed half of their attempts.
BOOST_AUTO_TEST_CASE(shedding_targets_are_avoided) {
  virtual_tier Tier(Shards, Budget, 5);
  for (std::size_t Shard = 0; Shard < Shards; ++Shard)
    for (std::size_t Replica = 0; Replica < 3; ++Replica)
      if ((3 * Shard + Replica) % 2 == 0)
        Tier.targetOf(Shard, Replica).ShedShare = 0.5;
  auto Outcome = Tier.run({});
  BOOST_TEST(Outcome.Complete + Outcome.Partial > 1900);
}

// Two of thirty-six shards have one target left, which can't serve all
// requests; an answer may lack one part.
BOOST_AUTO_TEST_CASE(skipping_overloaded_shards_keeps_answers_in_time) {
  constexpr std::size_t ShardCount = 36;
  const auto Run = [](const double MinShare) {
    virtual_tier Tier(ShardCount, Budget, 6);
    for (const std::size_t Shard : {3, 20})
      for (const std::size_t Replica : {1, 2})
        Tier.targetOf(Shard, Replica).Unresponsive = true;
    virtual_tier::load Load;
    Load.Shards = ShardCount;
    Load.MinShare = MinShare;
    Load.ArrivalInterval = std::chrono::microseconds(4500);
    return Tier.run(Load);
  };
  // A part is skipped if it would be late anyway. If an answer may lack no
  // part, both queues grow without bound.
  const auto Complete = Run(1.0);
  const auto Partial = Run(0.95);
  BOOST_TEST_MESSAGE("in time " << Complete.within(200ms) << " -> "
                                << Partial.within(200ms));
  BOOST_TEST(Partial.within(200ms) > 0.9);
}

// In eleven of thirty-six shards one target doesn't answer and another one is
// slow; there are eight instances, each with only its own measurements.
BOOST_AUTO_TEST_CASE(shards_with_one_healthy_target_are_answered_in_time) {
  constexpr std::size_t ShardCount = 36;
  virtual_tier Tier(ShardCount, Budget, 8, 8);
  for (std::size_t Shard = 0; Shard < 33; Shard += 3) {
    Tier.targetOf(Shard, 0).Slowness = 6.6;
    Tier.targetOf(Shard, 1).Unresponsive = true;
  }
  virtual_tier::load Load;
  Load.Shards = ShardCount;
  Load.MinShare = 0.95;
  Load.ArrivalInterval = std::chrono::microseconds(7500);
  auto Outcome = Tier.run(Load);
  BOOST_TEST_MESSAGE("in time " << Outcome.within(200ms));
  BOOST_TEST(Outcome.within(200ms) > 0.95);
}

// Each shard keeps one target that serves all that reaches it; its two others
// shed 60 % for nine seconds. Six instances of two-slot targets; callers of
// failed requests come back at once. By a sum, all parts fit: if 0.35 of the
// first attempts go to targets that shed, 0.21 of them need a retry, which the
// budget covers, and the good target has 0.86 of the arrivals, 0.7 of its
// slots.
BOOST_AUTO_TEST_CASE(one_good_target_a_shard_among_shedding_ones_serves_most) {
  for (const std::uint64_t Seed : {21, 22, 23}) {
    virtual_tier Tier(Shards, Budget, Seed, 6, 2);
    Tier.forEachTarget([](const std::size_t Shard, const std::size_t Replica,
                          virtual_tier::target &Target) {
      Target.MaxQueue = 6;
      Target.PauseEvery = 3s;
      Target.PauseFor = 120ms;
      Target.PausePhase =
          std::chrono::milliseconds(613 * (3 * Shard + Replica) % 3000);
    });
    const auto SetShed = [&Tier](const double Share) {
      Tier.forEachTarget([Share](const std::size_t Shard,
                                 const std::size_t Replica,
                                 virtual_tier::target &Target) {
        if (Replica != Shard % 3)
          Target.ShedShare = Share;
      });
    };
    Tier.at(5s, [&] { SetShed(0.6); });
    Tier.at(14s, [&] { SetShed(0); });
    virtual_tier::load Load;
    Load.ArrivalInterval = std::chrono::microseconds(5500);
    Load.MedianWork = std::chrono::microseconds(9000);
    Load.Objective = 100ms;
    Load.Timeout = 600ms;
    Load.Requests = 14 * 182;
    Load.CallerRetries = 1;
    auto Outcome = Tier.run(Load);
    BOOST_TEST_MESSAGE(
        "in time " << Outcome.within(100ms) << ", complete " << Outcome.Complete
                   << ", partial " << Outcome.Partial << ", refused "
                   << Outcome.Refused << ", failed " << Outcome.Failed);
    BOOST_TEST(Outcome.within(100ms) > 0.9);
    BOOST_TEST(Outcome.Failed + Outcome.Refused < Load.Requests / 20);
  }
}

BOOST_AUTO_TEST_SUITE_END()
