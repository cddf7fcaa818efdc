#include "admission/poisontracker.h"

#include "global/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace tarragon::admission {

namespace {

constexpr std::size_t MaxRecords = 4096;
constexpr std::size_t MaxCrashesPerRecord = 8;
constexpr std::ptrdiff_t MinCrashesToHold = 2;
constexpr int MaxHoldDoublings = 4;
/// By how much an instance lengthens a quarantine at most. With 30 s and 8
/// instances, the first two end 0.7 s apart on average; reports take less than
/// a tenth of that.
constexpr double MaxHoldSpread = 0.2;

} // namespace

poison_tracker::poison_tracker(const milliseconds Hold,
                               const std::optional<std::uint64_t> Seed)
    : Hold(Hold), Seed(Seed) {}

auto poison_tracker::recordCrash(const crash_report &Report,
                                 const time_point Now) -> void {
  const time_point ObservedAt = Now - std::max(Report.Age, milliseconds{0});
  if (ObservedAt + Hold <= Now)
    return;
  find(Report.Fingerprint, Now);
  record &Record = touch(Report.Fingerprint);
  const auto Existing = std::find_if(
      Record.Crashes.begin(), Record.Crashes.end(), [&](const crash &Crash) {
        return Crash.Target == Report.Target &&
               Crash.StartedAtMs == Report.StartedAtMs;
      });
  if (Existing != Record.Crashes.end())
    Existing->Isolated = Existing->Isolated || Report.Isolated;
  else if (Record.Crashes.size() < MaxCrashesPerRecord)
    Record.Crashes.push_back({.Target = Report.Target,
                              .StartedAtMs = Report.StartedAtMs,
                              .Isolated = Report.Isolated,
                              .ObservedAt = ObservedAt});
  const auto Counts = [](const crash &Crash) { return !Crash.Cleared; };
  const auto CountsAsIsolated = [](const crash &Crash) {
    return !Crash.Cleared && Crash.Isolated;
  };
  const auto &Crashes = Record.Crashes;
  const bool IsConvicted =
      std::count_if(Crashes.begin(), Crashes.end(), Counts) >=
          MinCrashesToHold &&
      std::any_of(Crashes.begin(), Crashes.end(), CountsAsIsolated);
  const bool IsRelapse = Record.ReleasedAt && ObservedAt >= *Record.ReleasedAt;
  // Another instance has admitted the request again already.
  const bool IsRelapseElsewhere =
      Record.QuarantinedAt &&
      ObservedAt >= *Record.QuarantinedAt + minQuarantineTime(Record);
  if (IsRelapseElsewhere ||
      (!Record.QuarantinedAt && (IsConvicted || IsRelapse))) {
    Record.QuarantinedAt = ObservedAt;
    ++Record.Quarantines;
  }
  evictOldest();
}

auto poison_tracker::recordSuccess(const fingerprint Fingerprint) -> void {
  const auto Found = Index.find(Fingerprint);
  if (Found == Index.end() || Found->second->QuarantinedAt)
    return;
  Found->second->ReleasedAt.reset();
  for (crash &Crash : Found->second->Crashes)
    Crash.Cleared = true;
}

auto poison_tracker::verdict(const fingerprint Fingerprint,
                             const time_point Now) -> poison_verdict {
  const record *Record = find(Fingerprint, Now);
  if (Record == nullptr)
    return poison_verdict::Clear;
  if (Record->QuarantinedAt)
    return poison_verdict::Held;
  const bool Cleared =
      std::all_of(Record->Crashes.begin(), Record->Crashes.end(),
                  [](const crash &Crash) { return Crash.Cleared; });
  return Cleared ? poison_verdict::Clear : poison_verdict::Suspect;
}

auto poison_tracker::heldFor(const fingerprint Fingerprint,
                             const time_point Now) -> milliseconds {
  const record *Record = find(Fingerprint, Now);
  if (Record == nullptr || !Record->QuarantinedAt)
    return milliseconds(0);
  return std::chrono::ceil<milliseconds>(*Record->QuarantinedAt +
                                         quarantineTime(*Record) - Now);
}

auto poison_tracker::reports(const std::size_t MaxReports, const time_point Now)
    -> std::vector<crash_report> {
  std::vector<crash_report> Reports;
  for (auto Record = Records.begin();
       Record != Records.end() && Reports.size() < MaxReports;) {
    const auto Next = std::next(Record);
    if (find(Record->Fingerprint, Now) == nullptr) {
      Record = Next;
      continue;
    }
    for (const crash &Crash : Record->Crashes) {
      if (Crash.Cleared || Reports.size() == MaxReports)
        continue;
      const auto Age =
          std::chrono::duration_cast<milliseconds>(Now - Crash.ObservedAt);
      Reports.push_back({Record->Fingerprint, Crash.Target, Crash.Isolated, Age,
                         Crash.StartedAtMs});
    }
    Record = Next;
  }
  return Reports;
}

auto poison_tracker::touch(const fingerprint Fingerprint) -> record & {
  const auto Found = Index.find(Fingerprint);
  if (Found == Index.end()) {
    Records.push_front({.Fingerprint = Fingerprint});
    Index.emplace(Fingerprint, Records.begin());
    return Records.front();
  }
  Records.splice(Records.begin(), Records, Found->second);
  return Records.front();
}

auto poison_tracker::find(const fingerprint Fingerprint, const time_point Now)
    -> record * {
  const auto Found = Index.find(Fingerprint);
  if (Found == Index.end())
    return nullptr;
  record &Record = *Found->second;
  dropExpired(Record, Now);
  if (!Record.Crashes.empty() || Record.ReleasedAt)
    return &Record;
  Records.erase(Found->second);
  Index.erase(Found);
  return nullptr;
}

auto poison_tracker::dropExpired(record &Record, const time_point Now) const
    -> void {
  if (Record.QuarantinedAt) {
    const time_point End = *Record.QuarantinedAt + quarantineTime(Record);
    if (End > Now)
      return;
    Record.Crashes.clear();
    Record.QuarantinedAt.reset();
    Record.ReleasedAt = End;
  }
  if (Record.ReleasedAt && *Record.ReleasedAt + quarantineTime(Record) <= Now)
    Record.ReleasedAt.reset();
  std::erase_if(Record.Crashes, [&](const crash &Crash) {
    return Crash.ObservedAt + Hold <= Now;
  });
}

auto poison_tracker::minQuarantineTime(const record &Record) const
    -> milliseconds {
  return Hold * (1 << std::clamp(Record.Quarantines - 1, 0, MaxHoldDoublings));
}

auto poison_tracker::quarantineTime(const record &Record) const
    -> milliseconds {
  const milliseconds Min = minQuarantineTime(Record);
  if (!Seed)
    return Min;
  const std::string Key =
      std::to_string(*Seed) + "/" + std::to_string(Record.Fingerprint);
  const double Spread = std::ldexp(static_cast<double>(hash64(Key)), -64);
  return std::chrono::duration_cast<milliseconds>(Min *
                                                  (1 + MaxHoldSpread * Spread));
}

auto poison_tracker::evictOldest() -> void {
  if (Records.size() <= MaxRecords)
    return;
  auto Oldest = std::find_if(Records.rbegin(), Records.rend(),
                             [](const record &R) { return !R.QuarantinedAt; });
  if (Oldest == Records.rend())
    Oldest = Records.rbegin();
  Index.erase(Oldest->Fingerprint);
  Records.erase(std::next(Oldest).base());
}

} // namespace tarragon::admission
