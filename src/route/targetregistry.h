#pragma once

#include "route/types/targetentry.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tarragon::route {

/// All registered targets and those that may get new requests.
///
/// A removed target stays usable for some time, because its entry may come back
/// after an outage of the store. A draining target gets no new requests from
/// the moment its entry arrives, and so does one in an evacuated failure
/// domain. Not thread-safe.
class target_registry {
public:
  /// A change of one target.
  struct change {
    std::string Id;
    bool Usable = false;
    bool Restarted = false; ///< new incarnation, address or service
    bool Returned = false;  ///< usable again after an evacuation
    bool Cold = false;      ///< its entry announces a slow start
    bool OnlyCold = false;  ///< nothing else changed
  };
  using changes = std::vector<change>;

  /// Adds or updates one entry; a later call supersedes an earlier one. An
  /// incarnation that has drained stays so, and a pending removal is cancelled.
  /// Each write of an entry that announces a slow start is a change.
  auto put(const target_entry &Entry) -> changes;

  /// Records that the incarnation of \p Id that started at \p StartedAtMs said
  /// that it leaves: it counts as draining from now on, whatever its entry
  /// says, also if the entry goes and comes back.
  auto markLeaving(const std::string &Id, std::int64_t StartedAtMs) -> changes;

  /// Marks \p Id as removed; it is dropped at \p DropAt unless its entry comes
  /// back. A second removal doesn't postpone the first.
  auto remove(const std::string &Id, time_point DropAt) -> void;

  /// Adds or updates all entries and marks all other targets as removed.
  auto replaceAll(const std::vector<target_entry> &Entries, time_point DropAt)
      -> changes;

  /// Evacuates exactly the failure domains \p Domains: targets in them, also
  /// those that appear or change later, get no new requests.
  auto setEvacuated(std::set<std::string> Domains) -> changes;

  auto evacuated() const -> const std::set<std::string> & { return Evacuated; }

  /// Returns whether the failure domain of \p Entry is evacuated.
  auto isEvacuated(const target_entry &Entry) const -> bool {
    return !Evacuated.empty() && Evacuated.contains(Entry.FailureDomain);
  }

  /// Drops the removed targets that are due at \p Now.
  auto expire(time_point Now) -> changes;

  /// Returns the entry of \p Id, which the registry owns, or null.
  auto find(const std::string &Id) const -> const target_entry *;

  /// Returns the targets of \p Service that may get new requests, ordered by
  /// id. The registry owns them.
  auto usable(const std::string &Service) const
      -> const std::vector<const target_entry *> &;

  /// Returns all targets, including draining and removed ones, ordered by
  /// service.
  auto all() const -> std::vector<const target_entry *>;

  auto size() const -> std::size_t { return Entries.size(); }

private:
  struct record {
    target_entry Entry;
    std::optional<time_point> DropAt;
  };

  auto isLeaving(const target_entry &Entry) const -> bool;
  auto isUsable(const target_entry &Entry) const -> bool {
    return !Entry.Draining && !isEvacuated(Entry);
  }
  auto rebuildIndex() -> void;

  std::map<std::string, record> Entries; ///< by id
  std::set<std::string> Evacuated;       ///< failure domains
  /// Start of the incarnation that said that it leaves, by target id.
  std::map<std::string, std::int64_t> Leaving;
  std::deque<std::string> LeavingOrder; ///< ids in Leaving, oldest first
  /// By service.
  std::map<std::string, std::vector<const target_entry *>> Usable;
};

} // namespace tarragon::route
