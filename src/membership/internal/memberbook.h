#pragma once

#include "membership/internal/memberrecord.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace tarragon::membership {

/// The records of all other instances, and which news replaces which: a later
/// life first, then a higher refutation, then the graver state. Not locked.
class member_book {
public:
  enum class change { None, Learnt, Changed };

  /// Takes news; \p Suspicion is how long a suspect has to refute.
  auto take(const member_update &Update, milliseconds Suspicion,
            milliseconds Forget, time_point Now) -> change;

  /// Makes a live record Suspect; false when it is not live.
  auto suspect(const instance_id &Id, milliseconds Suspicion, time_point Now)
      -> bool;

  /// Lets due suspects die and forgets dead ones that are not listed. Gives
  /// the ids that died.
  auto expire(milliseconds Forget, time_point Now) -> std::vector<instance_id>;

  /// Gives every suspect the whole suspicion time again.
  auto restartSuspicions(milliseconds Suspicion, time_point Now) -> void;

  auto setConfig(const instance_id &Id, config_version Version) -> void;
  auto setListed(const std::vector<instance> &List, const instance_id &Self)
      -> void;

  auto find(const instance_id &Id) const -> const member_record *;
  auto records() const -> const std::map<instance_id, member_record> & {
    return Records;
  }
  /// Grows whenever any record changes in what others see of it.
  auto revision() const -> std::uint64_t { return Revision; }

  /// The live member that told the highest configuration, or null.
  auto newestConfig() const -> const member_record *;

  auto digest() const -> std::uint64_t { return Digest; }
  auto nextDeadline() const -> std::optional<time_point>;

  /// The contact after \p Last, going round, among those that are listed but
  /// unheard, or dead. Gives its addresses: as heard, as listed, or both.
  auto contactAfter(const instance_id &Last) const -> std::vector<instance>;

private:
  auto remove(const member_record &Record) -> void;
  auto add(const member_record &Record) -> void;
  auto setDeadline(const instance_id &Id, member_record &Record,
                   std::optional<time_point> Deadline) -> void;
  auto setState(member_record &Record, instance_state State,
                milliseconds Suspicion, milliseconds Forget, time_point Now)
      -> void;
  auto sortIn(const instance_id &Id) -> void;

  std::map<instance_id, member_record> Records;
  std::uint64_t Digest = 0; ///< all records' digests, by exclusive or
  std::uint64_t Revision = 0;
  std::set<std::pair<config_version, instance_id>> Configs; ///< of live ones
  std::map<instance_id, instance> Listed;
  std::set<instance_id> Contacts; ///< listed but unheard, or dead
  std::set<std::pair<time_point, instance_id>> Deadlines;
};

} // namespace tarragon::membership
