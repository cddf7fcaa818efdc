#pragma once

#include "bench/core/callrecord.h"
#include "bench/core/eventloop.h"
#include "bench/core/topology.h"

#include "world/types/heldversion.h"

#include <memory>
#include <string>
#include <vector>

namespace tarragon::bench {

/// The baseline: asks each shard's first replica, one shard after the other,
/// without retries, all of one index version, until the deadline.
class naive_client {
public:
  naive_client(const topology &Topology, milliseconds Deadline);
  ~naive_client();

  /// The version asked for from now on and its shards in each service.
  auto useVersion(held_version Version) -> void { Asked = Version; }

  /// Plays \p Calls from now on and waits for all answers. Connections are
  /// closed afterwards.
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
  static auto noteMissing(const part &Part, call_record &Record) -> void;
  auto finish(const std::shared_ptr<flight> &Flight) -> void;

  topology Topology;
  std::vector<target_place> Targets;
  milliseconds Deadline;
  held_version Asked;
  std::size_t Open = 0;
  std::uint64_t NextAttempt = 0;
};

} // namespace tarragon::bench
