#include "placement/targetset.h"

#include <algorithm>
#include <limits>

namespace tarragon::placement {

namespace {

constexpr double OwnDomainDiscount = 0.7;
constexpr double SilentPenalty = 20;
/// Connections left to others: hand-overs and attempts that are being closed.
constexpr double UsableConnections = 0.8;
constexpr int DefaultConnections = 32;
/// Bounds of what a refused caller is told.
constexpr milliseconds ShortestReturn{100};
constexpr milliseconds LongestReturn{1000};

} // namespace

target_set::target_set(std::string NewOwnDomain)
    : OwnDomain(std::move(NewOwnDomain)) {}

auto target_set::apply(const route::target_book::changes &Changes,
                       const time_point Now) -> void {
  for (const route::target_book::change &Change : Changes) {
    const route::target_entry *Entry = Book.find(Change.Id);
    if (!Entry) {
      States.erase(Change.Id);
      continue;
    }
    if (!Change.Reborn)
      continue;
    target_state &State = States[Change.Id];
    State = {};
    State.setColdUntil(Now + Entry->ColdFor);
    setShares(*Entry);
  }
}

auto target_set::setShares(const route::target_entry &Entry) -> void {
  target_state &State = States[Entry.Id];
  State.setMostOutstanding(connectionShare(Entry.Service));
  State.setSlotShare(static_cast<double>(Instances) / std::max(1, Entry.Slots));
}

auto target_set::connectionShare(const std::string &Service) const -> int {
  const auto Known = MostOfService.find(Service);
  const int Most =
      Known == MostOfService.end() ? DefaultConnections : Known->second;
  return std::max(1, static_cast<int>(Most * UsableConnections) / Instances);
}

auto target_set::setConnectionLimits(std::map<std::string, int> NewMost,
                                     const int NewInstances) -> void {
  MostOfService = std::move(NewMost);
  Instances = std::max(1, NewInstances);
  for (auto &[Id, State] : States)
    if (const route::target_entry *Entry = Book.find(Id))
      setShares(*Entry);
}

auto target_set::choose(const std::string &Service,
                        const std::vector<std::string> &Tried,
                        const microseconds Typical, const time_point Now)
    -> const route::target_entry * {
  const auto &Usable = Book.usable(Service);
  const route::target_entry *Best = nullptr;
  double Least = std::numeric_limits<double>::max();
  ++Turn;
  for (std::size_t Step = 0; Step < Usable.size(); ++Step) {
    const route::target_entry *Entry = Usable[(Step + Turn) % Usable.size()];
    if (std::find(Tried.begin(), Tried.end(), Entry->Id) != Tried.end())
      continue;
    const target_state &State = States[Entry->Id];
    if (State.blocked(Typical, Now))
      continue;
    double Cost = State.cost(Typical, Now);
    if (Entry->FailureDomain == OwnDomain)
      Cost *= OwnDomainDiscount;
    if (State.silent(Typical, Now))
      Cost *= SilentPenalty;
    if (Cost >= Least)
      continue;
    Least = Cost;
    Best = Entry;
  }
  return Best;
}

auto target_set::lost(const std::string &Service, const microseconds Typical,
                      const time_point Now) const -> bool {
  const auto &Usable = Book.usable(Service);
  return std::all_of(
      Usable.begin(), Usable.end(), [&](const route::target_entry *Entry) {
        const auto Known = States.find(Entry->Id);
        return Known != States.end() && Known->second.down(Typical, Now);
      });
}

auto target_set::expectedWait(const std::string &Service,
                              const microseconds Typical,
                              const time_point Now) const -> microseconds {
  double Least = std::numeric_limits<double>::max();
  for (const route::target_entry *Entry : Book.usable(Service)) {
    const auto Known = States.find(Entry->Id);
    if (Known == States.end())
      return Typical;
    if (!Known->second.blocked(Typical, Now))
      Least = std::min(Least, Known->second.cost(Typical, Now));
  }
  constexpr double Longest = 3.6e9;
  return microseconds(static_cast<std::int64_t>(std::min(Least, Longest)));
}

auto target_set::nextChance(const std::string &Service,
                            const time_point Now) const -> milliseconds {
  auto Soonest = LongestReturn;
  for (const route::target_entry *Entry : Book.usable(Service)) {
    const auto Known = States.find(Entry->Id);
    const auto Pause = Known == States.end()
                           ? milliseconds(0)
                           : std::chrono::ceil<milliseconds>(
                                 Known->second.blockedUntil() - Now);
    Soonest = std::min(Soonest, std::max(Pause, ShortestReturn));
  }
  return Soonest;
}

} // namespace tarragon::placement
