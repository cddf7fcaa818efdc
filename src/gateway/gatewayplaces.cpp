// Evacuated failure domains and cold targets.
#include "gateway/gateway.h"

#include "global/log.h"

#include <algorithm>
#include <iterator>

namespace tarragon::gateway {

namespace {

/// Another program chooses the names of evacuated domains.
constexpr std::size_t MaxNamesLogged = 16;
constexpr std::size_t MaxNameBytes = 64;

/// Returns the names in \p Left that aren't in \p Right, shortened.
auto difference(const std::set<std::string> &Left,
                const std::set<std::string> &Right) -> std::string {
  std::vector<std::string> Names;
  std::set_difference(Left.begin(), Left.end(), Right.begin(), Right.end(),
                      std::back_inserter(Names));
  std::string Text;
  for (std::size_t Index = 0; Index < std::min(Names.size(), MaxNamesLogged);
       ++Index)
    Text += (Text.empty() ? "" : ",") + Names[Index].substr(0, MaxNameBytes);
  return Names.size() > MaxNamesLogged ? Text + ",..." : Text;
}

} // namespace

auto gateway::setEvacuated(std::set<std::string> Domains) -> void {
  route::target_registry &Registry = Targets.registry();
  if (Domains == Registry.evacuated())
    return;
  const std::set<std::string> Before = Registry.evacuated();
  const auto Changes = Registry.setEvacuated(std::move(Domains));
  log::write(log::level::Info, log::part::Membership,
             "evacuated failure domains changed",
             {{"added", difference(Registry.evacuated(), Before)},
              {"revoked", difference(Before, Registry.evacuated())},
              {"targets", std::to_string(Changes.size())}});
  Metrics.gauge("tarragon_evacuated_domains")
      .set(static_cast<double>(Registry.evacuated().size()));
  applyTargets(Changes);
}

auto gateway::dropPools(const route::target_registry::changes &Changes)
    -> void {
  std::vector<std::unique_ptr<connection_pool>> Evacuated;
  for (const route::target_registry::change &Change : Changes) {
    if (Change.Usable && !Change.Restarted)
      continue;
    const route::target_entry *Entry = Targets.registry().find(Change.Id);
    auto Dropped = Pools.extract(Change.Id);
    if (Dropped && Entry && Targets.registry().isEvacuated(*Entry))
      Evacuated.push_back(std::move(Dropped.mapped()));
  }
  // Their requests may choose other targets in here.
  for (const auto &Pool : Evacuated)
    Pool->abandonConnecting();
}

} // namespace tarragon::gateway
