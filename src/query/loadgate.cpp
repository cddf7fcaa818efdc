#include "query/loadgate.h"

#include <algorithm>
#include <limits>

namespace tarragon::query {

namespace {

/// How far past the capacity the load is shows only after a queue's length.
constexpr double FirstCutFactor = 0.6;
constexpr double CutFactor = 0.93;
constexpr double LateWeight = 0.05;
constexpr double MostLate = 0.3;
constexpr double GainPerSecond = 0.02;
/// An idle time says nothing of what could be served meanwhile.
constexpr milliseconds LongestGrowth{500};

} // namespace

auto load_gate::admit(const contract_id &Contract, const std::uint64_t Draw,
                      const time_point Now) -> bool {
  // Grows with the arrivals, too, or a gate that lets few start would learn
  // too seldom that more could.
  const auto Found = States.find(Contract);
  if (Found != States.end())
    grow(Found->second, Now);
  const double Share = share(Contract);
  constexpr auto Most =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return Share >= 1 || static_cast<double>(Draw) < Share * Most;
}

auto load_gate::onFinished(const contract_id &Contract, const query_end End,
                           const time_point Started, const time_point Now)
    -> void {
  const auto Found = States.find(Contract);
  if (Found == States.end() && !End.Refused && !End.Late)
    return;
  state &State = States[Contract];
  State.LateShare += LateWeight * ((End.Late ? 1.0 : 0.0) - State.LateShare);
  const bool Congested = End.Refused || State.LateShare > MostLate;
  if (!Congested)
    grow(State, Now);
  else if (Started >= State.CutAt && Now >= State.CutAt + End.Deadline)
    cut(State, Now);
  if (State.Share >= 1 && State.LateShare < LateWeight / 2)
    States.erase(Contract);
}

auto load_gate::cut(state &State, const time_point Now) -> void {
  const double Factor = State.Share >= 1 ? FirstCutFactor : CutFactor;
  State.Share = std::max(LeastShare, State.Share * Factor);
  State.CutAt = Now;
  State.GrownAt = Now;
}

auto load_gate::grow(state &State, const time_point Now) -> void {
  const std::chrono::duration<double> Since =
      std::min<time_point::duration>(Now - State.GrownAt, LongestGrowth);
  State.Share = std::min(1.0, State.Share + GainPerSecond * Since.count());
  State.GrownAt = Now;
}

auto load_gate::share(const contract_id &Contract) const -> double {
  const auto Found = States.find(Contract);
  return Found == States.end() ? 1.0 : Found->second.Share;
}

} // namespace tarragon::query
