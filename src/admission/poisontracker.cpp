#include "admission/poisontracker.h"

#include <algorithm>
#include <iterator>

namespace tarragon::admission {

namespace {

constexpr std::size_t MostRecords = 4096;
constexpr std::size_t MostCrashesPerRecord = 8;
constexpr std::ptrdiff_t TargetsToHold = 2;

} // namespace

poison_tracker::poison_tracker(const milliseconds Hold) : Hold(Hold) {}

auto poison_tracker::recordCrash(const crash_report &Report,
                                 const time_point Now) -> void {
  const time_point SeenAt = Now - std::max(Report.Age, milliseconds{0});
  if (SeenAt + Hold <= Now)
    return;
  find(Report.Fingerprint, Now);
  record &Record = touch(Report.Fingerprint);
  const auto Same = std::find_if(
      Record.Crashes.begin(), Record.Crashes.end(),
      [&](const crash &Crash) { return Crash.Target == Report.Target; });
  if (Same != Record.Crashes.end())
    Same->Apart = Same->Apart || Report.Apart;
  else if (Record.Crashes.size() < MostCrashesPerRecord)
    Record.Crashes.push_back(
        {.Target = Report.Target, .Apart = Report.Apart, .SeenAt = SeenAt});
  const auto Counts = [](const crash &Crash) { return !Crash.Excused; };
  const auto CountsApart = [](const crash &Crash) {
    return !Crash.Excused && Crash.Apart;
  };
  const auto &Crashes = Record.Crashes;
  if (!Record.HeldAt &&
      std::count_if(Crashes.begin(), Crashes.end(), Counts) >= TargetsToHold &&
      std::any_of(Crashes.begin(), Crashes.end(), CountsApart))
    Record.HeldAt = SeenAt;
  dropSurplus();
}

auto poison_tracker::recordSuccess(const fingerprint Fingerprint) -> void {
  const auto Found = Index.find(Fingerprint);
  if (Found == Index.end() || Found->second->HeldAt)
    return;
  for (crash &Crash : Found->second->Crashes)
    Crash.Excused = true;
}

auto poison_tracker::verdict(const fingerprint Fingerprint,
                             const time_point Now) -> poison_verdict {
  const record *Record = find(Fingerprint, Now);
  if (Record == nullptr)
    return poison_verdict::Clear;
  if (Record->HeldAt)
    return poison_verdict::Held;
  const bool Excused =
      std::all_of(Record->Crashes.begin(), Record->Crashes.end(),
                  [](const crash &Crash) { return Crash.Excused; });
  return Excused ? poison_verdict::Clear : poison_verdict::Suspect;
}

auto poison_tracker::reports(const std::size_t Most, const time_point Now)
    -> std::vector<crash_report> {
  std::vector<crash_report> Reports;
  for (auto Record = Records.begin();
       Record != Records.end() && Reports.size() < Most;) {
    const auto Next = std::next(Record);
    if (find(Record->Fingerprint, Now) == nullptr) {
      Record = Next;
      continue;
    }
    for (const crash &Crash : Record->Crashes) {
      if (Crash.Excused || Reports.size() == Most)
        continue;
      const auto Age =
          std::chrono::duration_cast<milliseconds>(Now - Crash.SeenAt);
      Reports.push_back({Record->Fingerprint, Crash.Target, Crash.Apart, Age});
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
  if (!Record.Crashes.empty())
    return &Record;
  Records.erase(Found->second);
  Index.erase(Found);
  return nullptr;
}

auto poison_tracker::dropExpired(record &Record, const time_point Now) const
    -> void {
  if (Record.HeldAt) {
    if (*Record.HeldAt + Hold <= Now)
      Record.Crashes.clear();
    return;
  }
  std::erase_if(Record.Crashes,
                [&](const crash &Crash) { return Crash.SeenAt + Hold <= Now; });
}

auto poison_tracker::dropSurplus() -> void {
  if (Records.size() <= MostRecords)
    return;
  auto Oldest = std::find_if(Records.rbegin(), Records.rend(),
                             [](const record &R) { return !R.HeldAt; });
  if (Oldest == Records.rend())
    Oldest = Records.rbegin();
  Index.erase(Oldest->Fingerprint);
  Records.erase(std::next(Oldest).base());
}

} // namespace tarragon::admission
