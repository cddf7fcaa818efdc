#pragma once

#include "admission/internal/queueclass.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace tarragon::admission::internal {

/// Requests that wait for a slot. Contracts share the slots' time evenly
/// (start-time fair queueing); within a contract the earliest deadline goes
/// first.
class fair_queue {
public:
  auto push(request_state &Request) -> void;
  auto remove(request_state &Request) -> void;

  /// Counts the time of a started request against its contract.
  auto charge(const request_state &Request) -> void;

  /// Offers waiting requests in order until none is taken. \p Take is given
  /// the first of each class and returns whether it started it; it must
  /// remove from the queue what it starts.
  auto offer(const std::function<bool(request_number)> &Take) -> void;

  auto size() const -> std::size_t { return Size; }

  /// The slot time that is served before a new \p Request, if all who wait
  /// now are served in order.
  auto workAhead(const request_state &Request) const -> microseconds;

  /// The request to give up when the queue is too long: the latest deadline
  /// of the contract with most requests waiting.
  auto surplus() const -> std::optional<request_number>;

  auto numbers() const -> std::vector<request_number>;

private:
  using entry = std::pair<time_point, request_number>;
  using entries = std::set<entry>;
  struct flow {
    double Start = 0; ///< virtual time, in microseconds of slot time
    std::size_t Size = 0;
    const contract_stats *Stats = nullptr;
    std::map<queue_class, entries> Classes;
  };

  auto offerFrom(flow &Flow, const std::function<bool(request_number)> &Take)
      -> bool;
  static auto sizeBefore(const flow &Flow, time_point Deadline) -> double;

  std::map<contract_id, flow> Flows; ///< idle ones too
  double VirtualTime = 0;
  std::size_t Size = 0;
};

} // namespace tarragon::admission::internal
