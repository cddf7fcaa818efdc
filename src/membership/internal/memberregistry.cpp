#include "membership/internal/memberregistry.h"

#include <algorithm>
#include <tuple>

namespace tarragon::membership {

namespace {

auto severity(const instance_state State) -> int {
  switch (State) {
  case instance_state::Live:
  case instance_state::Leaving:
    return 0;
  case instance_state::Suspect:
    return 1;
  case instance_state::Dead:
    return 2;
  }
  return 0;
}

auto storedState(const instance_state State) -> instance_state {
  return State == instance_state::Leaving ? instance_state::Live : State;
}

auto isLeaving(const member_update &Update) -> bool {
  return Update.Leaving || Update.Instance.State == instance_state::Leaving;
}

/// Returns whether the state in \p Update replaces that of \p Record, which is
/// of the same incarnation.
auto replacesState(const member_update &Update, const member_record &Record)
    -> bool {
  return std::tuple(Update.Refutation, severity(Update.Instance.State)) >
         std::tuple(Record.Refutation, severity(Record.Instance.State));
}

} // namespace

auto member_registry::apply(const member_update &Update,
                            const milliseconds SuspicionTime,
                            const milliseconds ForgetAfter,
                            const time_point Now) -> change {
  const instance_id &Id = Update.Instance.Id;
  const auto Found = Records.find(Id);
  const bool Known = Found != Records.end();
  if (!Known && Update.Instance.State == instance_state::Dead)
    return change::None;
  if (Known && Update.Instance.Incarnation < Found->second.Instance.Incarnation)
    return change::None;
  const bool NewIncarnation = !Known || Update.Instance.Incarnation >
                                            Found->second.Instance.Incarnation;
  member_record &Record = Known ? Found->second : Records[Id];
  if (!NewIncarnation && !replacesState(Update, Record)) {
    const bool StartsLeaving = isLeaving(Update) && !Record.Leaving;
    if (!StartsLeaving)
      return change::None;
    remove(Record);
    Record.Leaving = true;
    add(Record);
    return change::Changed;
  }
  if (Known)
    remove(Record);
  const bool WasLeaving = !NewIncarnation && Record.Leaving;
  if (NewIncarnation) {
    setDeadline(Id, Record, std::nullopt);
    Record = {};
  }
  Record.Instance = Update.Instance;
  Record.Refutation = Update.Refutation;
  Record.Leaving = WasLeaving || isLeaving(Update);
  setState(Record, storedState(Update.Instance.State), SuspicionTime,
           ForgetAfter, Now);
  add(Record);
  return NewIncarnation ? change::Added : change::Changed;
}

auto member_registry::suspect(const instance_id &Id,
                              const milliseconds SuspicionTime,
                              const time_point Now) -> bool {
  const auto Found = Records.find(Id);
  if (Found == Records.end() ||
      Found->second.Instance.State != instance_state::Live)
    return false;
  remove(Found->second);
  setState(Found->second, instance_state::Suspect, SuspicionTime,
           milliseconds{0}, Now);
  add(Found->second);
  return true;
}

auto member_registry::expire(const milliseconds ForgetAfter,
                             const time_point Now) -> std::vector<instance_id> {
  const milliseconds DeadTime = std::max(ForgetAfter, milliseconds{1});
  std::vector<instance_id> Died;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const instance_id Id = Deadlines.begin()->second;
    member_record &Record = Records[Id];
    remove(Record);
    if (Record.alive())
      Died.push_back(Id);
    if (Record.alive() || Listed.contains(Id)) {
      setState(Record, instance_state::Dead, milliseconds{0}, DeadTime, Now);
      add(Record);
      continue;
    }
    setDeadline(Id, Record, std::nullopt);
    Records.erase(Id);
    updateContact(Id);
  }
  return Died;
}

auto member_registry::restartSuspicions(const milliseconds SuspicionTime,
                                        const time_point Now) -> void {
  for (auto &[Id, Record] : Records)
    if (Record.Instance.State == instance_state::Suspect)
      setDeadline(Id, Record, Now + SuspicionTime);
}

auto member_registry::setConfig(const instance_id &Id,
                                const config_version Version) -> void {
  const auto Found = Records.find(Id);
  if (Found == Records.end() || Found->second.Config == Version)
    return;
  remove(Found->second);
  Found->second.Config = Version;
  add(Found->second);
}

auto member_registry::newestConfig() const -> const member_record * {
  return Configs.empty() ? nullptr : find(Configs.rbegin()->second);
}

auto member_registry::setListed(const std::vector<instance> &List,
                                const instance_id &Self) -> void {
  const auto Before = std::move(Listed);
  Listed.clear();
  for (const instance &Instance : List)
    if (Instance.Id != Self && !Instance.Id.empty())
      Listed.insert_or_assign(Instance.Id, Instance);
  for (const auto &[Id, Instance] : Before)
    updateContact(Id);
  for (const auto &[Id, Instance] : Listed)
    updateContact(Id);
}

auto member_registry::find(const instance_id &Id) const
    -> const member_record * {
  const auto Found = Records.find(Id);
  return Found == Records.end() ? nullptr : &Found->second;
}

auto member_registry::nextDeadline() const -> std::optional<time_point> {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->first;
}

auto member_registry::contactAfter(const instance_id &Last) const
    -> std::vector<instance> {
  if (Contacts.empty())
    return {};
  auto Next = Contacts.upper_bound(Last);
  if (Next == Contacts.end())
    Next = Contacts.begin();
  std::vector<instance> Addresses;
  if (const member_record *Record = find(*Next))
    Addresses.push_back(Record->Instance);
  const auto Entry = Listed.find(*Next);
  if (Entry != Listed.end() &&
      (Addresses.empty() ||
       Addresses[0].PeerAddress != Entry->second.PeerAddress))
    Addresses.push_back(Entry->second);
  return Addresses;
}

auto member_registry::remove(const member_record &Record) -> void {
  ++Revision;
  Digest ^= Record.digest();
  Configs.erase({Record.Config, Record.Instance.Id});
}

auto member_registry::add(const member_record &Record) -> void {
  ++Revision;
  Digest ^= Record.digest();
  if (Record.alive() && Record.Config > 0)
    Configs.emplace(Record.Config, Record.Instance.Id);
}

auto member_registry::setDeadline(const instance_id &Id, member_record &Record,
                                  const std::optional<time_point> Deadline)
    -> void {
  if (Record.Deadline)
    Deadlines.erase({*Record.Deadline, Id});
  Record.Deadline = Deadline;
  if (Deadline)
    Deadlines.emplace(*Deadline, Id);
}

auto member_registry::setState(member_record &Record,
                               const instance_state State,
                               const milliseconds SuspicionTime,
                               const milliseconds ForgetAfter,
                               const time_point Now) -> void {
  const instance_id Id = Record.Instance.Id;
  Record.Instance.State = State;
  switch (State) {
  case instance_state::Live:
  case instance_state::Leaving:
    setDeadline(Id, Record, std::nullopt);
    break;
  case instance_state::Suspect:
    setDeadline(Id, Record, Now + SuspicionTime);
    break;
  case instance_state::Dead:
    setDeadline(Id, Record, Now + ForgetAfter);
    break;
  }
  updateContact(Id);
}

auto member_registry::updateContact(const instance_id &Id) -> void {
  const member_record *Record = find(Id);
  const bool NeverSeen = Record == nullptr && Listed.contains(Id);
  if (NeverSeen || (Record != nullptr && !Record->alive()))
    Contacts.insert(Id);
  else
    Contacts.erase(Id);
}

} // namespace tarragon::membership
