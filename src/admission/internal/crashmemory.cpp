#include "admission/internal/crashmemory.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

constexpr milliseconds Memory{10000};
constexpr std::size_t MostCrashes = 256;

} // namespace

auto crash_memory::record(const fingerprint Fingerprint, const time_point Now)
    -> void {
  Crashes[Fingerprint] = Now;
  if (Crashes.size() <= MostCrashes)
    return;
  const auto Oldest = std::min_element(
      Crashes.begin(), Crashes.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  Crashes.erase(Oldest);
}

auto crash_memory::recordCulprit(const fingerprint Fingerprint,
                                 const time_point Now) -> void {
  Crashes.clear();
  record(Fingerprint, Now);
}

auto crash_memory::has(const fingerprint Fingerprint,
                       const time_point Now) const -> bool {
  if (Crashes.empty())
    return false;
  const auto Found = Crashes.find(Fingerprint);
  return Found != Crashes.end() && Now < Found->second + Memory;
}

} // namespace tarragon::admission::internal
