#include "query/internal/coveragecount.h"

namespace tarragon::query {

auto countCoverage(const std::vector<query_part> &Parts) -> coverage {
  coverage Counted;
  Counted.Asked = Parts.size();
  for (const query_part &Part : Parts) {
    if (Part.State == part_state::Answered) {
      ++Counted.Answered;
      continue;
    }
    const attempt_outcome Reason = Part.State == part_state::Failed
                                       ? Part.Reason
                                       : attempt_outcome::Expired;
    Counted.Missing.push_back({Part.Service, Part.Shard, Reason});
  }
  return Counted;
}

} // namespace tarragon::query
