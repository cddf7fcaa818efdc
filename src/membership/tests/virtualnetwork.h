#pragma once

#include "membership/membertable.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace tarragon::membership::tests {

/// Member tables joined by a network of their own time, with delay and loss.
class virtual_network {
public:
  explicit virtual_network(std::uint64_t Seed, membership_settings Settings);

  /// Starts a life that knows \p List.
  auto start(const instance &Self, const std::vector<instance> &List) -> void;
  auto stop(const instance_id &Id) -> void;

  /// While paused, a node neither runs nor loses what is sent to it.
  auto pause(const instance_id &Id) -> void;
  auto resume(const instance_id &Id, bool TimerFirst) -> void;
  auto leave(const instance_id &Id) -> void;

  auto run(milliseconds Time) -> void;

  /// Runs until \p Done holds; gives the time taken, or \p Most + 1.
  auto runUntil(const std::function<bool()> &Done, milliseconds Most)
      -> milliseconds;

  auto table(const instance_id &Id) -> member_table &;
  auto ids() const -> std::vector<instance_id>;
  auto stateAt(const instance_id &Viewer, const instance_id &Seen)
      -> std::optional<instance_state>;

  /// Whether every running node sees each of \p Ids in \p State.
  auto allSee(const std::vector<instance_id> &Ids, instance_state State)
      -> bool;
  auto now() const -> time_point { return Now; }

  double Loss = 0; ///< share of messages
  std::function<bool(const instance_id &, const instance_id &)> Blocked;
  std::map<instance_id, std::size_t> Sent; ///< messages of each sender
  std::size_t MostUpdates = 0;             ///< in one message

private:
  struct node {
    std::optional<member_table> Table;
    address Address;
    bool Paused = false;
    time_point Wake = time_point::max(); ///< of the earliest timer queued
    std::vector<gossip_message> Held;
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

/// Instance number \p Index of a fleet over three failure domains.
auto numbered(std::size_t Index, incarnation Incarnation = 1) -> instance;
auto fleet(std::size_t Size) -> std::vector<instance>;
auto idsOf(const std::vector<instance> &Fleet) -> std::vector<instance_id>;

} // namespace tarragon::membership::tests
