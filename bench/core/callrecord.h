#pragma once

#include "global/types/time.h"
#include "world/types/coverage.h"
#include "world/types/ids.h"
#include "world/types/item.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::bench {

/// A request of a schedule.
struct scheduled_call {
  microseconds At{0}; ///< relative to the start of the schedule
  contract_id Contract;
  std::string Body; ///< unique, to identify the request in run logs
  std::string Key;
  bool Repeatable = true;
};

/// The result of a request. Code is -1 if no answer was received.
struct call_record {
  scheduled_call Call;
  microseconds Latency{0}; ///< measured from the scheduled time
  int Code = -1;
  std::string Detail;
  bool Complete = false;
  index_version Version = 0;
  std::size_t Asked = 0;
  std::size_t Answered = 0;
  std::vector<missing_shard> Missing; ///< without reasons
  std::vector<std::string> Reasons;   ///< of Missing, in the same order
  std::vector<item> Items;
  std::uint32_t Attempts = 0;
  int Sends = 0; ///< to instances
};

/// Returns whether the answer states that the request was not run.
inline auto reportsNotRun(const call_record &Record) -> bool {
  return Record.Code >= 200 && Record.Code < 300;
}

} // namespace tarragon::bench
