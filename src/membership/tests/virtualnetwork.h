#pragma once

#include "membership/membertable.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace tarragon::membership::tests {

/// Member tables connected by a simulated network with virtual time, delay and
/// loss.
class virtual_network {
public:
  explicit virtual_network(std::uint64_t Seed, membership_settings Settings);

  /// Starts an incarnation with \p List as its instance list.
  auto start(const instance &Self, const std::vector<instance> &List) -> void;
  auto stop(const instance_id &Id) -> void;

  /// Pauses a node: it doesn't run, and messages to it are buffered.
  auto pause(const instance_id &Id) -> void;
  /// Resumes a node; \p TimerFirst runs its timer before the buffered messages.
  auto resume(const instance_id &Id, bool TimerFirst) -> void;
  auto leave(const instance_id &Id) -> void;

  auto run(milliseconds Time) -> void;

  /// Runs until \p Done holds; returns the time taken, or \p MaxTime + 1 ms
  /// when it didn't.
  auto runUntil(const std::function<bool()> &Done, milliseconds MaxTime)
      -> milliseconds;

  auto table(const instance_id &Id) -> member_table &;
  auto ids() const -> std::vector<instance_id>;
  auto stateAt(const instance_id &Viewer, const instance_id &Seen)
      -> std::optional<instance_state>;

  /// Returns whether every running node sees each of \p Ids in \p State.
  auto allSee(const std::vector<instance_id> &Ids, instance_state State)
      -> bool;
  auto now() const -> time_point { return Now; }

  double Loss = 0; ///< share of messages
  std::function<bool(const instance_id &, const instance_id &)> Blocked;
  std::map<instance_id, std::size_t> Sent; ///< messages by sender
  std::size_t MaxUpdates = 0;              ///< maximum in one message

private:
  struct node {
    std::optional<member_table> Table;
    address Address;
    bool Paused = false;
    time_point Wake = time_point::max(); ///< of the earliest queued timer
    std::vector<gossip_message> Buffered;
  };

  struct event {
    time_point At;
    std::uint64_t Number = 0;
    address To; ///< empty: a timer of Node
    instance_id Node;
    gossip_message Message;

    auto operator<(const event &Other) const -> bool {
      return std::pair(Other.At, Other.Number) < std::pair(At, Number);
    }
  };

  auto send(const instance_id &From, std::vector<outgoing_gossip> Messages)
      -> void;
  auto schedule(const instance_id &Id) -> void;
  auto handle(const event &Event) -> void;
  auto handleTimer(const event &Event) -> void;

  membership_settings Settings;
  std::mt19937_64 Random;
  time_point Now{std::chrono::hours(1)};
  std::uint64_t Number = 0;
  std::map<instance_id, node> Nodes;
  std::map<address, instance_id> ByAddress;
  std::priority_queue<event> Events;
};

/// Returns instance number \p Index of a fleet over three failure domains.
auto numbered(std::size_t Index, incarnation Incarnation = 1) -> instance;
auto fleet(std::size_t Size) -> std::vector<instance>;
auto idsOf(const std::vector<instance> &Fleet) -> std::vector<instance_id>;

} // namespace tarragon::membership::tests
