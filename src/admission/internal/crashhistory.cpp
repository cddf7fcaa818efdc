#include "admission/internal/crashhistory.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

constexpr milliseconds Retention{10000};
constexpr std::size_t MaxCrashes = 256;

} // namespace

auto crash_history::record(const fingerprint Fingerprint, const time_point Now)
    -> void {
  Crashes[Fingerprint] = Now;
  if (Crashes.size() <= MaxCrashes)
    return;
  const auto Oldest = std::min_element(
      Crashes.begin(), Crashes.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  Crashes.erase(Oldest);
}

auto crash_history::recordCulprit(const fingerprint Fingerprint,
                                  const time_point Now) -> void {
  Crashes.clear();
  record(Fingerprint, Now);
}

auto crash_history::contains(const fingerprint Fingerprint,
                             const time_point Now) const -> bool {
  if (Crashes.empty())
    return false;
  const auto Found = Crashes.find(Fingerprint);
  return Found != Crashes.end() && Now < Found->second + Retention;
}

} // namespace tarragon::admission::internal
