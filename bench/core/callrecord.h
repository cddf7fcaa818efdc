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

/// One request of a schedule.
struct scheduled_call {
  microseconds At{0}; ///< after the schedule's begin
  contract_id Contract;
  std::string Body; ///< unique, so that run logs tell requests apart
  std::string Key;
  bool Repeatable = true;
};

/// What became of a request. Code is -1 when no answer came at all.
struct call_record {
  scheduled_call Call;
  microseconds Latency{0}; ///< from the scheduled moment
  int Code = -1;
  std::string Detail;
  bool Complete = false;
  index_version Version = 0;
  std::size_t Asked = 0;
  std::size_t Answered = 0;
  std::vector<missing_shard> Missing; ///< reasons not filled in
  std::vector<std::string> Reasons;   ///< of the missing, in their order
  std::vector<item> Items;
  std::uint32_t Attempts = 0;
  int Sends = 0; ///< to entries
};

/// Whether the answer promises that the request never ran.
inline auto saysNotRun(const call_record &Record) -> bool {
  return Record.Code >= 200 && Record.Code < 300;
}

} // namespace tarragon::bench
