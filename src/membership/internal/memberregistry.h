#pragma once

#include "membership/internal/memberrecord.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace tarragon::membership {

/// Keeps the records of all other instances. An update replaces a record if it
/// has a later incarnation, then a higher refutation, then a more severe state
/// (Live < Suspect < Dead). Not thread-safe.
class member_registry {
public:
  /// Effect of an update: Added for a new instance or incarnation.
  enum class change { None, Added, Changed };

  /// Applies \p Update. A suspect has \p SuspicionTime to refute; a dead record
  /// is kept for \p ForgetAfter.
  auto apply(const member_update &Update, milliseconds SuspicionTime,
             milliseconds ForgetAfter, time_point Now) -> change;

  /// Marks a live record Suspect; returns false if the record is not live.
  auto suspect(const instance_id &Id, milliseconds SuspicionTime,
               time_point Now) -> bool;

  /// Marks suspects whose deadline passed Dead, and removes dead records that
  /// aren't listed. Returns the ids marked Dead.
  auto expire(milliseconds ForgetAfter, time_point Now)
      -> std::vector<instance_id>;

  /// Restarts the suspicion time of every suspect.
  auto restartSuspicions(milliseconds SuspicionTime, time_point Now) -> void;

  auto setConfig(const instance_id &Id, config_version Version) -> void;
  auto setListed(const std::vector<instance> &List, const instance_id &Self)
      -> void;

  auto find(const instance_id &Id) const -> const member_record *;
  auto records() const -> const std::map<instance_id, member_record> & {
    return Records;
  }
  /// Increases whenever the visible state of a record changes.
  auto revision() const -> std::uint64_t { return Revision; }

  /// Returns the live member that reported the highest configuration version,
  /// or null.
  auto newestConfig() const -> const member_record *;

  auto digest() const -> std::uint64_t { return Digest; }
  auto nextDeadline() const -> std::optional<time_point>;

  /// Returns the contact after \p Last in cyclic order, once for each of its
  /// distinct addresses (from its record, from the list). Contacts are the
  /// instances that are listed without a record, and the dead ones.
  auto contactAfter(const instance_id &Last) const -> std::vector<instance>;

private:
  auto remove(const member_record &Record) -> void;
  auto add(const member_record &Record) -> void;
  auto setDeadline(const instance_id &Id, member_record &Record,
                   std::optional<time_point> Deadline) -> void;
  auto setState(member_record &Record, instance_state State,
                milliseconds SuspicionTime, milliseconds ForgetAfter,
                time_point Now) -> void;
  auto updateContact(const instance_id &Id) -> void;

  std::map<instance_id, member_record> Records;
  std::uint64_t Digest = 0; ///< exclusive or of all records' digests
  std::uint64_t Revision = 0;
  std::set<std::pair<config_version, instance_id>> Configs; ///< of live members
  std::map<instance_id, instance> Listed;
  std::set<instance_id> Contacts; ///< listed without a record, or dead
  std::set<std::pair<time_point, instance_id>> Deadlines;
};

} // namespace tarragon::membership
