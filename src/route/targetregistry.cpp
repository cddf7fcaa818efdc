#include "route/targetregistry.h"

#include <algorithm>

#include <set>
#include <tuple>
#include <utility>

namespace tarragon::route {

namespace {

/// Ids remembered as leaving; far more than leave within the life of an entry.
constexpr std::size_t MaxLeaving = 8192;

auto isRestarted(const target_entry &Entry, const target_entry &Existing)
    -> bool {
  return std::tie(Entry.StartedAtMs, Entry.Ip, Entry.Port, Entry.Service) !=
         std::tie(Existing.StartedAtMs, Existing.Ip, Existing.Port,
                  Existing.Service);
}

/// Returns whether \p Entry is not the one that is known already, as a complete
/// list repeats it.
auto isAnotherWrite(const target_entry &Entry, const target_entry &Existing)
    -> bool {
  return std::tie(Entry.Revision, Entry.StartedAtMs, Entry.Sequence,
                  Entry.ColdFor) !=
         std::tie(Existing.Revision, Existing.StartedAtMs, Existing.Sequence,
                  Existing.ColdFor);
}

} // namespace

auto target_registry::isLeaving(const target_entry &Entry) const -> bool {
  const auto Known = Leaving.find(Entry.Id);
  return Known != Leaving.end() && Entry.StartedAtMs <= Known->second;
}

auto target_registry::markLeaving(const std::string &Id,
                                  const std::int64_t StartedAtMs) -> changes {
  const auto Known = Leaving.try_emplace(Id, StartedAtMs);
  if (Known.second)
    LeavingOrder.push_back(Id);
  else if (Known.first->second >= StartedAtMs)
    return {};
  Known.first->second = StartedAtMs;
  if (LeavingOrder.size() > MaxLeaving) {
    Leaving.erase(LeavingOrder.front());
    LeavingOrder.pop_front();
  }
  const auto Existing = Entries.find(Id);
  if (Existing == Entries.end() || Existing->second.Entry.Draining ||
      !isLeaving(Existing->second.Entry))
    return {};
  Existing->second.Entry.Draining = true;
  rebuildIndex();
  return {{Id, false, false}};
}

auto target_registry::put(const target_entry &NewEntry) -> changes {
  target_entry Entry = NewEntry;
  const auto Existing = Entries.find(Entry.Id);
  const bool IsNew = Existing == Entries.end();
  const bool HasDrained =
      !IsNew && Existing->second.Entry.Draining &&
      Existing->second.Entry.StartedAtMs == Entry.StartedAtMs;
  Entry.Draining = Entry.Draining || HasDrained || isLeaving(Entry);
  const bool Restarted = IsNew || isRestarted(Entry, Existing->second.Entry);
  const bool DrainingChanged =
      IsNew || Entry.Draining != Existing->second.Entry.Draining;
  const bool WasEvacuated = !IsNew && isEvacuated(Existing->second.Entry);
  const bool EvacuationChanged = !IsNew && WasEvacuated != isEvacuated(Entry);
  const bool Cold = Entry.ColdFor > milliseconds(0) &&
                    (IsNew || isAnotherWrite(Entry, Existing->second.Entry));
  const bool OnlyCold = !Restarted && !DrainingChanged && !EvacuationChanged;
  Entries[Entry.Id] = {Entry, std::nullopt};
  if (OnlyCold && !Cold)
    return {};
  if (!OnlyCold)
    rebuildIndex();
  return {{Entry.Id, isUsable(Entry), Restarted,
           WasEvacuated && isUsable(Entry), Cold, OnlyCold}};
}

auto target_registry::remove(const std::string &Id, const time_point DropAt)
    -> void {
  const auto Existing = Entries.find(Id);
  if (Existing != Entries.end() && !Existing->second.DropAt)
    Existing->second.DropAt = DropAt;
}

auto target_registry::replaceAll(const std::vector<target_entry> &NewEntries,
                                 const time_point DropAt) -> changes {
  std::set<std::string_view> Present;
  changes Changes;
  for (const target_entry &Entry : NewEntries) {
    Present.insert(Entry.Id);
    for (change &Change : put(Entry))
      Changes.push_back(std::move(Change));
  }
  for (auto &[Id, Record] : Entries)
    if (!Present.count(Id) && !Record.DropAt)
      Record.DropAt = DropAt;
  return Changes;
}

auto target_registry::setEvacuated(std::set<std::string> Domains) -> changes {
  std::set<std::string> Before = std::exchange(Evacuated, std::move(Domains));
  changes Changes;
  for (const auto &[Id, Record] : Entries) {
    const bool IsUsable = isUsable(Record.Entry);
    const bool WasUsable =
        !Record.Entry.Draining && !Before.contains(Record.Entry.FailureDomain);
    if (IsUsable != WasUsable)
      Changes.push_back({Id, IsUsable, false, IsUsable});
  }
  if (!Changes.empty())
    rebuildIndex();
  return Changes;
}

auto target_registry::expire(const time_point Now) -> changes {
  changes Changes;
  for (auto Record = Entries.begin(); Record != Entries.end();) {
    if (!Record->second.DropAt || *Record->second.DropAt > Now) {
      ++Record;
      continue;
    }
    Changes.push_back({Record->first, false, false});
    Record = Entries.erase(Record);
  }
  if (!Changes.empty())
    rebuildIndex();
  return Changes;
}

auto target_registry::find(const std::string &Id) const
    -> const target_entry * {
  const auto Existing = Entries.find(Id);
  return Existing == Entries.end() ? nullptr : &Existing->second.Entry;
}

auto target_registry::usable(const std::string &Service) const
    -> const std::vector<const target_entry *> & {
  static const std::vector<const target_entry *> None;
  const auto Existing = Usable.find(Service);
  return Existing == Usable.end() ? None : Existing->second;
}

auto target_registry::all() const -> std::vector<const target_entry *> {
  std::vector<const target_entry *> All;
  for (const auto &[Id, Record] : Entries)
    All.push_back(&Record.Entry);
  std::stable_sort(All.begin(), All.end(),
                   [](const target_entry *Left, const target_entry *Right) {
                     return Left->Service < Right->Service;
                   });
  return All;
}

auto target_registry::rebuildIndex() -> void {
  Usable.clear();
  for (const auto &[Id, Record] : Entries)
    if (isUsable(Record.Entry))
      Usable[Record.Entry.Service].push_back(&Record.Entry);
}

} // namespace tarragon::route
