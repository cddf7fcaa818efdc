#pragma once

#include "bench/core/callrecord.h"
#include "bench/core/eventloop.h"
#include "bench/core/topology.h"

#include "world/types/heldversion.h"

#include <memory>
#include <string>
#include <vector>

namespace tarragon::bench {

/// The baseline client: sends to the first replica of each shard, one shard
/// after the other, without retries, until the deadline. All requests are for
/// one index version.
class naive_client {
public:
  naive_client(const topology &Topology, milliseconds Deadline);
  ~naive_client();

  /// Sets the index version, with its shard count, of further requests.
  auto useVersion(held_version Version) -> void { RequestedVersion = Version; }

  /// Sends \p Calls on schedule, starting now, and waits for all results. The
  /// connections are closed afterwards.
  auto play(const std::vector<scheduled_call> &Calls)
      -> std::vector<call_record>;

private:
  struct part {
    service_id Service;
    std::size_t Shard = 0;
    address Target;
  };
  struct flight;

  auto partsOf(const scheduled_call &Call) const -> std::vector<part>;
  auto advance(event_loop &Loop, const std::shared_ptr<flight> &Flight) -> void;
  auto receive(event_loop &Loop, const std::shared_ptr<flight> &Flight,
               const http_answer &Answer) -> void;
  static auto addMissing(const part &Part, call_record &Record) -> void;
  auto finish(const std::shared_ptr<flight> &Flight) -> void;

  topology Topology;
  std::vector<target_placement> Targets;
  milliseconds Deadline;
  held_version RequestedVersion;
  std::size_t InFlight = 0;
  std::uint64_t NextAttempt = 0;
};

} // namespace tarragon::bench
