#pragma once

#include "bench/core/callrecord.h"
#include "bench/core/topology.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tarragon::bench {

/// A line of the targets' run log.
struct run_event {
  std::string Event;
  target_id Target;
  std::uint64_t Request = 0; ///< hash64 of the request's body
  service_id Service;
  std::size_t Shard = 0;
  index_version Version = 0;
  microseconds At{0}; ///< by the machine's monotonic clock
};

/// Every whole line of \p Path.
auto readRunLog(const std::string &Path) -> std::vector<run_event>;

/// Promises broken, each counted in requests.
struct broken_promises {
  std::size_t Mixed = 0;          ///< items of other versions than stated
  std::size_t CoverageErrors = 0; ///< coverage or items not as they must be
  std::size_t RunTwice = 0;       ///< may not be repeated, yet began twice
  std::size_t FalseNotRun = 0;    ///< "not run", yet a target began it
  std::vector<std::string> Examples;
};

/// Holds what instances answered against what targets did and hold.
class promise_audit {
public:
  explicit promise_audit(const topology &Topology);

  /// Declares an index version with its shards in each service.
  auto addVersion(held_version Version) -> void;

  /// Checks answers to contracts that merge the best 10 of all services.
  auto checkAnswers(const std::vector<call_record> &Records,
                    broken_promises &Broken) -> void;

  /// Checks requests against the run log.
  static auto checkRuns(const std::vector<call_record> &Records,
                        const std::vector<run_event> &Events,
                        broken_promises &Broken) -> void;

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
