#pragma once

#include "fleet/watcherselection.h"

#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace tarragon::fleet {

/// A simulation in virtual time of instances that watch a source of documents
/// which refuses or ignores some of them. Instances exchange ages by gossip and
/// announce changes to each other.
class source_outage {
public:
  enum class reply { Answers, Refuses, Ignores };
  /// Returns how the source treats the calls of instance \p Number at \p Time
  /// after the start.
  using behavior = std::function<reply(std::size_t Number, milliseconds Time)>;

  /// Instances have domains 0 to 4 and three capacities in turn.
  source_outage(std::size_t Count, milliseconds MaxDelay, std::uint64_t Seed);

  /// Returns the domain of instance \p Number.
  static auto domainOf(std::size_t Number) -> std::size_t { return Number % 5; }
  /// Returns the capacity of instance \p Number.
  static auto capacityOf(std::size_t Number) -> double;

  /// Runs for \p Length with a change at the source every \p ChangePeriod.
  auto run(behavior Source, milliseconds Length, milliseconds ChangePeriod)
      -> void;

  /// Returns the longest time after which an instance had a change that
  /// occurred after the first five seconds.
  auto longestDelay() const -> milliseconds { return LongestDelay; }
  /// Returns the number of calls to the source in the time from \p From to
  /// \p To.
  auto callsBetween(milliseconds From, milliseconds To) const -> std::size_t;

private:
  struct node {
    watcher_selection Selection;
    int Version = 0;
    bool Active = false;
    int Failures = 0;
    std::uint64_t Call = 0; ///< number of the call in flight; 0: none
    milliseconds CallEnd{0};
  };
  struct event {
    milliseconds At;
    std::uint64_t Number = 0;
    std::function<void()> Step;

    auto operator<(const event &Other) const -> bool {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  auto schedule(milliseconds Delay, std::function<void()> Step) -> void;
  auto poll(std::size_t Number) -> void;
  auto call(std::size_t Number) -> void;
  auto onReply(std::size_t Number, std::uint64_t Call) -> void;
  auto onFailure(std::size_t Number) -> void;
  auto gossip(std::size_t Number) -> void;
  auto change() -> void;
  auto learn(std::size_t Number, int Version, std::size_t Fanout) -> void;
  auto randomPeer(std::size_t Number) -> std::size_t;
  auto time() const -> time_point { return Start + Now; }

  std::mt19937_64 Random;
  time_point Start{std::chrono::hours(2)};
  milliseconds Now{0};
  std::vector<node> Nodes;
  std::vector<watcher_selection::candidate> Candidates;
  std::priority_queue<event> Events;
  std::uint64_t NextNumber = 1;
  behavior Source;
  milliseconds ChangePeriod{0};
  milliseconds MaxWait;
  std::vector<milliseconds> ChangedAt{milliseconds(0)}; ///< by version
  std::vector<milliseconds> CalledAt;
  milliseconds LongestDelay{0};
};

} // namespace tarragon::fleet
