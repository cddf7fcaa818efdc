#pragma once

#include "bench/core/callrecord.h"
#include "bench/core/topology.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tarragon::bench {

/// An event of the targets' run log.
struct run_event {
  std::string Event;
  target_id Target;
  std::uint64_t Request = 0; ///< hash64 of the request's body
  service_id Service;
  std::size_t Shard = 0;
  index_version Version = 0;
  microseconds At{0}; ///< on the system's monotonic clock
};

/// Returns the events of the run log at \p Path. Malformed lines are skipped.
auto readRunLog(const std::string &Path) -> std::vector<run_event>;

/// The numbers of requests that violate each invariant.
struct invariant_violations {
  std::size_t Mixed = 0;          ///< items of a version other than stated
  std::size_t CoverageErrors = 0; ///< wrong coverage or items
  std::size_t RunTwice = 0;       ///< non-repeatable, but started twice
  std::size_t FalseNotRun = 0;    ///< answered "not run", but a target ran it
  std::vector<std::string> Examples;
};

/// Checks the answers of instances against the synthetic corpus and the run log
/// of the targets.
class invariant_audit {
public:
  explicit invariant_audit(const topology &Topology);

  /// Adds an index version and its shard count, the same for all services.
  auto addVersion(held_version Version) -> void;

  /// Checks answers to contracts that merge the 10 best items of all services.
  auto checkAnswers(const std::vector<call_record> &Records,
                    invariant_violations &Violations) -> void;

  /// Checks that non-repeatable requests ran at most once and that requests
  /// answered "not run" did not run.
  static auto checkRuns(const std::vector<call_record> &Records,
                        const std::vector<run_event> &Events,
                        invariant_violations &Violations) -> void;

private:
  auto coverageFault(const call_record &Record) const -> std::string;
  auto expectedItems(const call_record &Record) -> std::vector<item>;
  auto keysOf(const service_id &Service, std::size_t Shard,
              std::size_t ShardCount) -> const std::vector<std::string> &;
  auto servicesOf(const contract_id &Contract) const -> std::vector<service_id>;

  topology Topology;
  std::map<index_version, std::size_t> Versions;
  std::map<std::pair<service_id, std::pair<std::size_t, std::size_t>>,
           std::vector<std::string>>
      Keys;
};

} // namespace tarragon::bench
