#include "query/loadgate.h"

#include <algorithm>
#include <limits>

namespace tarragon::query {

namespace {

/// The first cut is larger: the extent of an overload shows only after the time
/// that a full queue takes.
constexpr double FirstCutFactor = 0.6;
constexpr double CutFactor = 0.93;
constexpr double LateAverageWeight = 0.05;
constexpr double MaxLateShare = 0.3;
/// The mix of priorities is that of about the last 100 arrivals.
constexpr double ArrivalWeight = 0.01;
constexpr double ShareGainPerSecond = 0.02;
/// Limits the growth after an idle period, which shows nothing about the
/// capacity that was available meanwhile.
constexpr milliseconds MaxGrowthInterval{500};

} // namespace

auto load_gate::admit(const contract_id &Contract, const std::uint64_t Draw,
                      const time_point Now, const int Priority) -> bool {
  // The share grows on arrivals as well: at a low share few queries finish, so
  // growth on completions alone would recover too slowly.
  const auto Found = States.find(Contract);
  if (Found == States.end())
    return true;
  grow(Found->second, Now);
  recordArrival(Found->second, Priority);
  const double Share = shareOf(Found->second, Priority);
  constexpr auto MaxDraw =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return Share >= 1 || static_cast<double>(Draw) < Share * MaxDraw;
}

auto load_gate::recordArrival(state &State, const int Priority) -> void {
  for (auto &[Each, Part] : State.Arrivals)
    Part *= 1 - ArrivalWeight;
  State.Arrivals[Priority] += ArrivalWeight;
}

auto load_gate::shareOf(const state &State, const int Priority) -> double {
  if (State.Arrivals.size() <= 1)
    return State.Share;
  double All = 0;
  double Higher = 0;
  for (const auto &[Each, Part] : State.Arrivals) {
    All += Part;
    Higher += Each < Priority ? Part : 0;
  }
  const double Own = State.Arrivals.at(Priority);
  return std::clamp((State.Share * All - Higher) / Own, MinShare, 1.0);
}

auto load_gate::onFinished(const contract_id &Contract,
                           const load_signals Signals, const time_point Started,
                           const time_point Now) -> void {
  const auto Found = States.find(Contract);
  if (Found == States.end() && !Signals.Refused && !Signals.Late)
    return;
  state &State = States[Contract];
  State.LateShare +=
      LateAverageWeight * ((Signals.Late ? 1.0 : 0.0) - State.LateShare);
  const bool Congested = Signals.Refused || State.LateShare > MaxLateShare;
  if (!Congested)
    grow(State, Now);
  else if (Started >= State.LastCut && Now >= State.LastCut + Signals.Deadline)
    cut(State, Now);
  if (State.Share >= 1 && State.LateShare < LateAverageWeight / 2)
    States.erase(Contract);
}

auto load_gate::cut(state &State, const time_point Now) -> void {
  const double Factor = State.Share >= 1 ? FirstCutFactor : CutFactor;
  State.Share = std::max(MinShare, State.Share * Factor);
  State.LastCut = Now;
  State.LastGrowth = Now;
}

auto load_gate::grow(state &State, const time_point Now) -> void {
  const std::chrono::duration<double> Elapsed =
      std::min<time_point::duration>(Now - State.LastGrowth, MaxGrowthInterval);
  State.Share =
      std::min(1.0, State.Share + ShareGainPerSecond * Elapsed.count());
  State.LastGrowth = Now;
}

auto load_gate::share(const contract_id &Contract) const -> double {
  const auto Found = States.find(Contract);
  return Found == States.end() ? 1.0 : Found->second.Share;
}

} // namespace tarragon::query
