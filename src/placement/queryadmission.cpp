#include "placement/queryadmission.h"

#include "placement/internal/partsprobability.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

/// The weight of a new sample in the moving averages of a service.
constexpr double Smoothing = 0.1;
/// A sample counts as at most this many times the average, so that the few
/// parts that were answered after an outage don't outweigh those since.
constexpr double MaxSampleFactor = 4;
/// The weight of a query in the share of missed ones.
constexpr double QuerySmoothing = 0.05;
/// The decay time constant, in seconds, of the share of missed queries and of
/// what was measured of a service.
constexpr std::chrono::duration<double> DecayTime{2.5};
/// While fewer queries miss their objective, most of those that a refusal turns
/// away would have been answered in time.
constexpr double ActiveMissedShare = 0.2;
/// The share of its chance with nothing ahead that a query must have left, once
/// the work ahead occupies all slots: while more queries arrive than can be
/// served, the work of one that misses its time takes the place of another.
/// In replays 0.8 to 0.95 serve equally many within 0.04.
constexpr double MinProbability = 0.9;
/// The ratio of the standard to the mean deviation of a normal distribution.
constexpr double StandardOverMeanDeviation = 1.2533;
/// With an answer time of an idle service over this many times the time left,
/// late answers are all that can be had.
constexpr double HopelessFactor = 2;
/// Where this many rounds don't fit into the time left, a part that waits for
/// another one is late.
constexpr double MinRounds = 2;
/// Multiples of it, modulo 1, are spread evenly between 0 and 1.
constexpr double GoldenRatio = 0.6180339887;
/// The share of the time that a query uses while more important ones are
/// refused.
constexpr double YieldingShare = 0.5;
constexpr milliseconds YieldingTime{1000};
constexpr milliseconds MinRetryDelay{100};
constexpr milliseconds MaxRetryDelay{1000};

auto microsecondsIn(const time_point::duration Span) -> double {
  return std::chrono::duration<double, std::micro>(Span).count();
}

/// Returns how many times the slots must become free until a part with
/// \p Ahead open parts before it has ended.
auto roundsOf(const int Ahead, const double Slots) -> double {
  return std::max(1.0, (Ahead + 1) / std::max(1.0, Slots));
}

} // namespace

auto query_admission::missedShare(const time_point Now) const -> double {
  const std::chrono::duration<double> Age = Now - MissedAt;
  return MissedShare * std::exp(-Age.count() / DecayTime.count());
}

auto query_admission::recordQuery(const bool Missed, const time_point Now)
    -> void {
  const double Share = missedShare(Now);
  MissedShare = Share + QuerySmoothing * ((Missed ? 1 : 0) - Share);
  MissedAt = Now;
}

auto query_admission::isActive(const time_point Now) const -> bool {
  return missedShare(Now) > ActiveMissedShare;
}

auto query_admission::endQuery(const bool Missed, const time_point Now)
    -> void {
  OpenQueries = std::max(0, OpenQueries - 1);
  recordQuery(Missed, Now);
}

auto query_admission::open(const std::string &Service, const double Slots,
                           const time_point Now) -> admission_ticket {
  service_state &State = States[Service];
  State.Slots = Slots;
  return {Now, roundsOf(State.Open++, Slots)};
}

auto query_admission::close(const std::string &Service,
                            const admission_ticket &Ticket, const part_end End,
                            const time_point Now) -> void {
  service_state &State = States[Service];
  State.Open = std::max(0, State.Open - 1);
  if (End == part_end::Lost)
    return;
  const double TookUs = microsecondsIn(Now - Ticket.OpenedAt);
  std::erase_if(State.GivenUpUntil,
                [Now](const time_point Until) { return Until <= Now; });
  if (End == part_end::GivenUp && State.IsMeasured && TookUs < State.AloneUs)
    State.GivenUpUntil.push_back(
        Ticket.OpenedAt +
        std::chrono::duration_cast<time_point::duration>(
            std::chrono::duration<double, std::micro>(State.AloneUs)));
  const double RoundUs = TookUs / Ticket.Rounds;
  // A part that was given up would have taken longer.
  if (End == part_end::GivenUp && RoundUs < State.RoundUs)
    return;
  if (!State.IsMeasured) {
    State = {State.Open,  State.Slots, true, RoundUs,
             RoundUs / 2, TookUs,      Now,  {}};
    return;
  }
  State.MeasuredAt = Now;
  const double Change =
      std::min(RoundUs, MaxSampleFactor * State.RoundUs) - State.RoundUs;
  State.DeviationUs += Smoothing * (std::abs(Change) - State.DeviationUs);
  State.RoundUs += Smoothing * Change;
  if (Ticket.Rounds <= 1)
    State.AloneUs += Smoothing * (TookUs - State.AloneUs);
}

auto query_admission::expectedTime(const std::string &Service,
                                   const time_point Now) const -> microseconds {
  const auto Found = States.find(Service);
  if (Found == States.end())
    return microseconds(0);
  const std::chrono::duration<double> Age = Now - Found->second.MeasuredAt;
  return microseconds(static_cast<std::int64_t>(
      Found->second.RoundUs * std::exp(-Age.count() / DecayTime.count())));
}

auto query_admission::isExclusive(const service_state &State,
                                  const time_limits &Limits) -> bool {
  return State.IsMeasured && State.AloneUs * MinRounds > Limits.LeftUs &&
         State.AloneUs <= HopelessFactor * Limits.LeftUs;
}

auto query_admission::occupiedBy(const service_state &State,
                                 const time_point Now) -> int {
  return State.Open +
         static_cast<int>(std::count_if(
             State.GivenUpUntil.begin(), State.GivenUpUntil.end(),
             [Now](const time_point Until) { return Until > Now; }));
}

auto query_admission::answeredShare(const service_state &State, const int Ahead,
                                    const time_limits &Limits,
                                    const time_point Now) -> double {
  if (!State.IsMeasured)
    return 1;
  const double LimitUs = State.AloneUs > HopelessFactor * Limits.LeftUs
                             ? Limits.DeadlineUs
                             : Limits.LeftUs;
  const bool IsExclusive = isExclusive(State, Limits);
  // A share of slots that isn't whole is rounded up as often as it says, so
  // that all instances together use all slots.
  if (IsExclusive && Ahead > 0 && Ahead + 1 > State.Slots + Limits.SlotDraw)
    return 0;
  const double Rounds = IsExclusive ? 1 : roundsOf(Ahead, State.Slots);
  const double DeviationUs =
      std::max(1.0, StandardOverMeanDeviation * State.DeviationUs * Rounds);
  // An old measurement loses weight, so that an avoided service is tried again.
  const std::chrono::duration<double> Age = Now - State.MeasuredAt;
  const double ExpectedUs =
      State.RoundUs * Rounds * std::exp(-Age.count() / DecayTime.count());
  const double Distance = (LimitUs - ExpectedUs) / DeviationUs;
  return 0.5 * std::erfc(-Distance / std::sqrt(2.0));
}

auto query_admission::timeFor(const plan_settings &Settings,
                              const time_point Now) const -> microseconds {
  const auto TimeLeft = std::chrono::duration_cast<microseconds>(
      std::min(Settings.EarlyAt, Settings.Deadline) - Now);
  const bool Yields =
      Settings.Priority > RefusedPriority && Now < RefusedAt + YieldingTime;
  return Yields ? std::chrono::duration_cast<microseconds>(TimeLeft *
                                                           YieldingShare)
                : TimeLeft;
}

auto query_admission::decide(const plan_settings &Settings,
                             const std::vector<std::string> &Services,
                             const std::size_t MaxMissing, const time_point Now)
    -> admission_decision {
  admission_decision Decision;
  if (OpenQueries == 0 || !isActive(Now) || Services.empty())
    return Decision;
  SlotDraw = std::fmod(SlotDraw + GoldenRatio, 1);
  const time_limits Limits{static_cast<double>(timeFor(Settings, Now).count()),
                           microsecondsIn(Settings.Deadline - Now), SlotDraw};
  std::vector<outlook> Outlooks;
  for (const std::string &Service : Services) {
    const service_state &State = States[Service];
    const int Ahead = occupiedBy(State, Now);
    Outlooks.push_back({answeredShare(State, Ahead, Limits, Now),
                        answeredShare(State, 0, Limits, Now), Ahead, &Service,
                        &State});
  }
  std::sort(Outlooks.begin(), Outlooks.end(),
            [](const outlook &Left, const outlook &Right) {
              return Left.Share < Right.Share;
            });
  // Parts that may be missing are left out where the work ahead makes them
  // unlikely, so that these services serve more queries.
  std::size_t Skips = 0;
  while (Skips < MaxMissing &&
         (Outlooks[Skips].Ahead > 0 ||
          isExclusive(*Outlooks[Skips].State, Limits)) &&
         Outlooks[Skips].Share < MinProbability)
    Decision.Unlikely.push_back(*Outlooks[Skips++].Service);
  Outlooks.erase(Outlooks.begin(),
                 Outlooks.begin() + static_cast<std::ptrdiff_t>(Skips));
  const outlook &Worst = Outlooks.front();
  std::vector<double> Shares;
  std::vector<double> SharesAlone;
  for (const outlook &Outlook : Outlooks) {
    Shares.push_back(Outlook.Share);
    SharesAlone.push_back(Outlook.ShareAlone);
  }
  Decision.Service = *Worst.Service;
  Decision.Probability =
      internal::successProbability(Shares, MaxMissing - Skips);
  const double Occupied =
      std::min(1.0, Worst.Ahead / std::max(1.0, Worst.State->Slots));
  Decision.Needed =
      MinProbability * Occupied *
      internal::successProbability(SharesAlone, MaxMissing - Skips);
  Decision.IsAdmitted = Decision.Probability >= Decision.Needed;
  if (Decision.IsAdmitted)
    return Decision;
  Decision.Ahead = Worst.Ahead;
  const double ExpectedUs =
      Worst.State->RoundUs * roundsOf(Worst.Ahead, Worst.State->Slots);
  Decision.Expected = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double, std::micro>(ExpectedUs));
  Decision.RetryAfter =
      retryDelay(std::max(0.0, ExpectedUs - Limits.LeftUs),
                 Worst.State->RoundUs / std::max(1.0, Worst.State->Slots), Now);
  recordQuery(true, Now);
  if (Settings.Priority <= RefusedPriority || Now >= RefusedAt + YieldingTime) {
    RefusedPriority = Settings.Priority;
    RefusedAt = Now;
  }
  return Decision;
}

auto query_admission::retryDelay(const double WaitUs, const double PartUs,
                                 const time_point Now) -> milliseconds {
  // Each refused caller is told a time of its own, one part's time after the
  // previous one, so that they don't return together.
  const auto Span = [](const double Us) {
    return std::chrono::duration_cast<time_point::duration>(
        std::chrono::duration<double, std::micro>(Us));
  };
  PromisedUntil = std::max(PromisedUntil + Span(PartUs), Now + Span(WaitUs));
  PromisedUntil = std::min<time_point>(PromisedUntil, Now + MaxRetryDelay);
  return std::max(MinRetryDelay,
                  std::chrono::ceil<milliseconds>(PromisedUntil - Now));
}

} // namespace tarragon::placement
