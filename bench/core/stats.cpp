#include "bench/core/stats.h"

#include <algorithm>
#include <cmath>

namespace tarragon::bench {

auto quantile(std::vector<double> Values, const double Share) -> double {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double Rank = std::ceil(Share * static_cast<double>(Values.size()));
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Values[std::min(Index, Values.size() - 1)];
}

auto median(std::vector<double> Values) -> double {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const std::size_t Half = Values.size() / 2;
  if (Values.size() % 2 == 1)
    return Values[Half];
  return (Values[Half - 1] + Values[Half]) / 2;
}

auto latencies(const std::vector<call_record> &Records) -> std::vector<double> {
  std::vector<double> Values;
  for (const call_record &Record : Records)
    Values.push_back(static_cast<double>(Record.Latency.count()) / 1000.0);
  return Values;
}

auto completeShare(const std::vector<call_record> &Records) -> double {
  if (Records.empty())
    return 0;
  const auto Complete =
      std::count_if(Records.begin(), Records.end(),
                    [](const call_record &Record) { return Record.Complete; });
  return static_cast<double>(Complete) / static_cast<double>(Records.size());
}

} // namespace tarragon::bench
