#include "bench/core/schedule.h"

#include <random>

namespace tarragon::bench {

auto makeSchedule(const schedule_plan &Plan, const std::uint64_t Seed)
    -> std::vector<scheduled_call> {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(Plan.PerSecond);
  std::vector<scheduled_call> Calls;
  std::chrono::duration<double> At(Gap(Random));
  while (At < Plan.Length) {
    scheduled_call Call;
    Call.At = std::chrono::duration_cast<microseconds>(At);
    Call.Contract = Plan.Contract;
    Call.Body = Plan.Label + "-" + std::to_string(Calls.size());
    Call.Repeatable = Plan.Repeatable;
    if (Plan.WithKey)
      Call.Key = "key-" + std::to_string(Random() % 100000);
    Calls.push_back(std::move(Call));
    At += std::chrono::duration<double>(Gap(Random));
  }
  return Calls;
}

} // namespace tarragon::bench
