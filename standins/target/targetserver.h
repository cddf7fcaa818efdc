#pragma once

#include "standins/httpserver.h"
#include "standins/target/runlog.h"
#include "standins/target/targetrun.h"
#include "standins/target/targetsettings.h"
#include "standins/timerqueue.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragon::standins {

/// Serves the protocol "Entry to target" of docs/PROTOCOLS.md with limited
/// slots, and /control for tests. A run is simulated by a timer and occupies no
/// thread.
class target_server {
public:
  explicit target_server(target_settings Settings);

  /// Returns false if it cannot listen on the address.
  auto start() -> bool;

private:
  struct faults {
    double SlowFactor = 1;
    bool Frozen = false;
    bool Leaving = false;
    bool LieHealth = false;
    std::uint64_t FailEvery = 0;
    std::uint64_t CutEvery = 0;
    std::uint64_t CrossEvery = 0;
  };

  struct counters {
    std::uint64_t Runs = 0;
    std::uint64_t Answers = 0;
    std::uint64_t Sheds = 0;
    std::uint64_t Cancelled = 0;
    std::uint64_t Expired = 0;
    std::uint64_t WrongVersion = 0;
    std::uint64_t LeavingRefusals = 0;
    std::size_t PeakRunning = 0;
  };

  struct running {
    target_run Run;
    http_reply Reply;
  };

  struct held_request {
    http_request Request;
    http_reply Reply;
    time_point Arrived;
  };

  auto receive(const http_request &Request, const http_reply &Reply) -> void;
  auto handle(const held_request &Held) -> void;
  auto admit(const held_request &Held) -> void;
  /// Returns the error to refuse \p Run with, or an empty text.
  auto refusal(const target_run &Run) -> std::string_view;
  auto begin(target_run Run, const http_reply &Reply) -> void;
  auto finish(std::uint64_t Number) -> void;
  auto answer(const target_run &Run, const http_reply &Reply) -> void;
  auto cancel(const attempt_id &Attempt, const http_reply &Reply) -> void;
  auto answerBody(const target_run &Run, const attempt_id &Attempt)
      -> std::string;
  auto errorBody(const attempt_id &Attempt, std::string_view Error) const
      -> std::string;
  auto heldVersions() const -> Json::Value;
  auto holds(index_version Version, std::size_t ShardCount,
             std::size_t Shard) const -> bool;
  auto serviceTime() -> microseconds;
  auto keysOf(std::size_t Shard, std::size_t ShardCount)
      -> const std::vector<std::string> &;

  auto control(const http_request &Request, const http_reply &Reply) -> void;
  auto setFaults(const Json::Value &Body) -> void;
  auto state() const -> Json::Value;
  auto resume() -> void;
  auto health(const http_request &Request, const http_reply &Reply) -> void;

  target_settings Settings;
  time_point Started;
  mutable std::mutex Mutex; // rank: outermost of this program
  faults Faults;
  counters Counters;
  std::map<std::uint64_t, running> Running;
  std::uint64_t NextRun = 0;
  attempt_id LastAttempt;
  std::vector<held_request> HeldRequests;  ///< while frozen
  std::vector<std::uint64_t> HeldFinishes; ///< while frozen
  std::map<std::pair<std::size_t, std::size_t>, std::vector<std::string>> Keys;
  std::mt19937_64 Random;
  std::lognormal_distribution<double> ServiceFactor;
  run_log Log;
  timer_queue Timers;
  http_server Server;
};

} // namespace tarragon::standins
