#include "route/targetbook.h"

#include <algorithm>

#include <set>
#include <tuple>

namespace tarragon::route {

namespace {

auto isOlder(const target_entry &Entry, const target_entry &Known) -> bool {
  return std::tie(Entry.Born, Entry.Sequence) <
         std::tie(Known.Born, Known.Sequence);
}

auto isReborn(const target_entry &Entry, const target_entry &Known) -> bool {
  return std::tie(Entry.Born, Entry.Ip, Entry.Port, Entry.Service) !=
         std::tie(Known.Born, Known.Ip, Known.Port, Known.Service);
}

} // namespace

auto target_book::put(const target_entry &Entry) -> changes {
  const auto Known = Entries.find(Entry.Id);
  const bool IsNew = Known == Entries.end();
  if (!IsNew && isOlder(Entry, Known->second.Entry)) {
    Known->second.DropAt.reset();
    return {};
  }
  const bool Reborn = IsNew || isReborn(Entry, Known->second.Entry);
  const bool Turned = IsNew || Entry.Draining != Known->second.Entry.Draining;
  Entries[Entry.Id] = {Entry, std::nullopt};
  if (!Reborn && !Turned)
    return {};
  index();
  return {{Entry.Id, !Entry.Draining, Reborn}};
}

auto target_book::remove(const std::string &Id, const time_point DropAt)
    -> void {
  const auto Known = Entries.find(Id);
  if (Known != Entries.end() && !Known->second.DropAt)
    Known->second.DropAt = DropAt;
}

auto target_book::replaceAll(const std::vector<target_entry> &All,
                             const time_point DropAt) -> changes {
  std::set<std::string_view> Present;
  changes Changes;
  for (const target_entry &Entry : All) {
    Present.insert(Entry.Id);
    for (change &Change : put(Entry))
      Changes.push_back(std::move(Change));
  }
  for (auto &[Id, Record] : Entries)
    if (!Present.count(Id) && !Record.DropAt)
      Record.DropAt = DropAt;
  return Changes;
}

auto target_book::expire(const time_point Now) -> changes {
  changes Changes;
  for (auto At = Entries.begin(); At != Entries.end();) {
    if (!At->second.DropAt || *At->second.DropAt > Now) {
      ++At;
      continue;
    }
    Changes.push_back({At->first, false, false});
    At = Entries.erase(At);
  }
  if (!Changes.empty())
    index();
  return Changes;
}

auto target_book::find(const std::string &Id) const -> const target_entry * {
  const auto Known = Entries.find(Id);
  return Known == Entries.end() ? nullptr : &Known->second.Entry;
}

auto target_book::usable(const std::string &Service) const
    -> const std::vector<const target_entry *> & {
  static const std::vector<const target_entry *> None;
  const auto Known = Usable.find(Service);
  return Known == Usable.end() ? None : Known->second;
}

auto target_book::all() const -> std::vector<const target_entry *> {
  std::vector<const target_entry *> All;
  for (const auto &[Id, Record] : Entries)
    All.push_back(&Record.Entry);
  std::stable_sort(All.begin(), All.end(),
                   [](const target_entry *Left, const target_entry *Right) {
                     return Left->Service < Right->Service;
                   });
  return All;
}

auto target_book::index() -> void {
  Usable.clear();
  for (const auto &[Id, Record] : Entries)
    if (!Record.Entry.Draining)
      Usable[Record.Entry.Service].push_back(&Record.Entry);
}

} // namespace tarragon::route
