#pragma once

#include "route/types/targetentry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::route {

/// The targets that are known, and those that new work may go to.
///
/// A removed target stays usable for a while: after an outage of the store its
/// entry may come back. A draining one gets no new work at once. Not locked.
class target_book {
public:
  /// What a change of the book means for one target.
  struct change {
    std::string Id;
    bool Usable = false;
    bool Reborn = false; ///< a new life or another address
  };
  using changes = std::vector<change>;

  /// Takes one entry; an older one than the known is ignored.
  auto put(const target_entry &Entry) -> changes;

  /// Marks \p Id as gone; it is dropped at \p DropAt unless it comes back.
  auto remove(const std::string &Id, time_point DropAt) -> void;

  /// Takes all entries there are: the others are removed.
  auto replaceAll(const std::vector<target_entry> &Entries, time_point DropAt)
      -> changes;

  /// Drops what is due by \p Now.
  auto expire(time_point Now) -> changes;

  auto find(const std::string &Id) const -> const target_entry *;

  /// Targets of \p Service that may get new work, in the order of their ids.
  auto usable(const std::string &Service) const
      -> const std::vector<const target_entry *> &;

  /// All that are known, those that leave too, by service.
  auto all() const -> std::vector<const target_entry *>;

  auto size() const -> std::size_t { return Entries.size(); }

private:
  struct record {
    target_entry Entry;
    std::optional<time_point> DropAt;
  };

  auto index() -> void;

  std::map<std::string, record> Entries; ///< by id
  std::map<std::string, std::vector<const target_entry *>> Usable;
};

} // namespace tarragon::route
