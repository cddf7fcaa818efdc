// Evacuated failure domains and cold targets.
#include "gateway/gateway.h"

#include "global/log.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace tarragon::gateway {

namespace {

/// Another program chooses the names of evacuated domains.
constexpr std::size_t MaxNamesLogged = 16;
constexpr std::size_t MaxNameBytes = 64;
/// A day, as for the entries of targets.
constexpr std::int64_t MaxColdMs = 86400000;

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

auto gateway::setInstances(const placement::instance_view &View) -> void {
  const auto Now = std::chrono::steady_clock::now();
  Targets.cold().observe(View, Now);
  reportCold(Now);
}

auto gateway::reportCold(const time_point Now) -> void {
  const auto Shares = Targets.cold().shares(Now);
  std::map<std::string, double> Known = std::exchange(ColdShares, {});
  for (const placement::cold_share &Share : Shares) {
    ColdShares[Share.Target] = Share.RequestsPerSecond;
    const auto Before = Known.find(Share.Target);
    const bool IsSame =
        Before != Known.end() && Before->second == Share.RequestsPerSecond;
    Known.erase(Share.Target);
    if (!IsSame)
      log::write(log::level::Info, log::part::Membership, "target is cold",
                 {{"target", Share.Target},
                  {"ms", std::to_string(Share.Remaining.count())},
                  {"per_s", std::to_string(Share.RequestsPerSecond)}});
  }
  for (const auto &[Target, Rate] : Known)
    log::write(log::level::Info, log::part::Membership,
               "target is no longer cold", {{"target", Target}});
  Metrics.gauge("tarragon_cold_targets")
      .set(static_cast<double>(Shares.size()));
}

auto gateway::recordCold(const std::string &Target,
                         const std::int64_t StartedAtMs,
                         const exchange_answer &Answer) -> void {
  if (Settings.Names.ColdFor.empty())
    return;
  const std::string *Text = Answer.find(Settings.Names.ColdFor);
  if (!Text)
    return;
  std::int64_t Count = 0;
  const char *End = Text->data() + Text->size();
  const auto Read = std::from_chars(Text->data(), End, Count);
  if (Read.ec != std::errc() || Read.ptr != End || Count <= 0 ||
      Count > MaxColdMs)
    return;
  const route::target_entry *Entry = Targets.registry().find(Target);
  if (Entry && Entry->StartedAtMs == StartedAtMs)
    Targets.makeCold(*Entry, milliseconds(Count),
                     std::chrono::steady_clock::now());
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
