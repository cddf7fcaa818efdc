#pragma once

#include "admission/internal/queueclass.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace tarragon::admission::internal {

/// The queue of requests that wait for a slot. Start-time fair queueing divides
/// the slot time evenly between contracts; within a contract the highest
/// priority is served first, and of one priority the earliest deadline. So that
/// no priority is starved, each DeadlineTurn-th request of a contract is the
/// one with the earliest deadline of all.
class fair_queue {
public:
  auto push(request_state &Request) -> void;
  auto remove(request_state &Request) -> void;

  /// Charges the mean slot time of a started request to its contract.
  auto charge(const request_state &Request) -> void;

  /// Calls \p TryStart with waiting requests in service order until it starts
  /// none of them. \p TryStart receives the first request of each class,
  /// removes it from the queue if it starts it, and returns whether it did.
  auto offer(const std::function<bool(request_number)> &TryStart) -> void;

  auto size() const -> std::size_t { return Size; }

  /// Returns the estimated slot time of a new \p Request and of the requests
  /// that are served before it, if all waiting requests are served in order.
  auto workAhead(const request_state &Request) const -> microseconds;

  /// Returns the request to abandon when the queue is too long: of the lowest
  /// priority in the contract with the longest queue, the one with the latest
  /// deadline.
  auto evictionCandidate() const -> std::optional<request_number>;

  /// Returns the numbers of all waiting requests.
  auto requestNumbers() const -> std::vector<request_number>;

  static constexpr std::size_t DeadlineTurn = 8;

private:
  using entry = std::pair<time_point, request_number>;
  using entries = std::set<entry>;
  struct flow {
    double Start = 0; ///< virtual time, in microseconds of slot time
    std::size_t Size = 0;
    std::size_t Started = 0;
    const contract_stats *Stats = nullptr;
    std::map<queue_class, entries> Classes;
  };

  auto offerFrom(flow &Flow,
                 const std::function<bool(request_number)> &TryStart) -> bool;

  /// Estimates how many requests of \p Flow are served before a request of
  /// \p Priority and \p Deadline. Assumes evenly spread deadlines within a
  /// class.
  static auto countBefore(const flow &Flow, int Priority, time_point Deadline)
      -> double;

  std::map<contract_id, flow> Flows; ///< also those without requests
  double VirtualTime = 0;
  std::size_t Size = 0;
};

} // namespace tarragon::admission::internal
