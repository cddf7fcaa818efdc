#include "account/fairshare.h"

#include <algorithm>
#include <cmath>

namespace tarragon::account {

namespace {

using seconds = std::chrono::duration<double>;

/// Capacity becomes scarce when more is missed, as for the admission of
/// queries.
constexpr double MaxMissed = 0.2;
/// It stays so while more is missed: others would lose up to the share above
/// while the leeway grows.
constexpr double MaxMissedAgain = 0.05;
/// Memory of the present rates in seconds: a few requests of a small account.
constexpr double RateMemory = 2;
/// Memory of the usual rates in seconds, much longer than a burst.
constexpr double UsualMemory = 60;
/// Seconds of time to learn without which nothing is known to be unusual.
constexpr double MinCalmTime = 10;
/// Times the usual rate that aren't unusual.
constexpr double Tolerance = 1.25;
/// Requests within the memory that are chance.
constexpr double MinRequests = 3;
/// An account is served at least at this part of the rate of all. Half is
/// required; the rest covers that the rates are smoothed.
constexpr double MinServedPart = 0.55;
/// A second the part of an account's requests grows that is served although
/// they are beyond its share, while nothing is refused or late otherwise.
constexpr double LeewayGrowth = 0.01;
/// The same shrinks to nothing within a second of scarcity.
constexpr double LeewayLoss = 1;
/// Refusals end the scarcity that caused them, so requests stay refused for at
/// least this time, and then until the leeway has grown.
constexpr std::chrono::seconds ScarceTime{10};
/// After it, a less important request doesn't count as served any more.
constexpr std::chrono::seconds PriorityTime{1};
/// Accounts that weren't used for it are forgotten when one is added.
constexpr std::chrono::minutes IdleTime{10};
constexpr milliseconds MinRetryAfter{100};
constexpr milliseconds MaxRetryAfter{2000};

auto decay(const double Age, const double Memory) -> double {
  return std::exp(-Age / Memory);
}

} // namespace

auto fair_share::usual(const rates &Rates) const -> double {
  // Corrects the estimate of a short time, which starts at 0.
  return Rates.Usual * decay(CalmTime - Rates.UsualAt, UsualMemory) /
         (1 - decay(CalmTime, UsualMemory));
}

auto fair_share::advance(const double MissedShare, const time_point Now)
    -> void {
  const double Passed = seconds(Now - SeenAt.value_or(Now)).count();
  SeenAt = Now;
  const bool IsScarce = MissedShare > (isCalm() ? MaxMissed : MaxMissedAgain);
  if (IsScarce)
    ScarceAt = Now;
  if (IsScarce)
    Leeway = std::max(0.0, Leeway - LeewayLoss * Passed);
  else if (!ScarceAt || Now - *ScarceAt > ScarceTime)
    Leeway = std::min(1.0, Leeway + LeewayGrowth * Passed);
  if (isCalm())
    CalmTime += Passed;
}

auto fair_share::isCalm() const -> bool { return Leeway >= 1; }

auto fair_share::limit(const request &Request, const rates &Own,
                       const time_point Now) const -> double {
  double Usual = usual(Own);
  const double OthersUsual = usual(All) - Usual;
  const double Others = All.Asked - Own.Asked;
  if (Request.RatePerSecond > 0)
    Usual = std::min(Usual, Request.RatePerSecond);
  // An account may grow like the others, as when callers move here.
  const double Growth =
      OthersUsual > 0 ? std::max(1.0, Others / OthersUsual) : 1.0;
  const double Share = Tolerance * Growth * Usual + MinRequests / RateMemory;
  const double Least = MinServedPart * All.Served / All.Asked * Own.Asked;
  // Less important requests give way first.
  const bool IsPreferred =
      Request.Priority < LowestPriority && Now - LowestAt <= PriorityTime;
  return IsPreferred || OthersUsual <= 0
             ? Own.Asked + 1 / RateMemory
             : std::max({Share, Least, Leeway * Own.Asked});
}

auto fair_share::decide(const request &Request, const double MissedShare,
                        const time_point Now) -> quota_decision {
  advance(MissedShare, Now);
  const bool IsCalm = isCalm();
  if (!Accounts.contains(Request.Account))
    std::erase_if(Accounts, [Now](const auto &Entry) {
      return Now - Entry.second.At > IdleTime;
    });
  rates &Own = Accounts[Request.Account];
  for (rates *Rates : {&Own, &All}) {
    const double Left = decay(seconds(Now - Rates->At).count(), RateMemory);
    Rates->Asked = Rates->Asked * Left + 1 / RateMemory;
    Rates->Served *= Left;
    Rates->At = Now;
    if (!IsCalm)
      continue;
    Rates->Usual =
        Rates->Usual * decay(CalmTime - Rates->UsualAt, UsualMemory) +
        1 / UsualMemory;
    Rates->UsualAt = CalmTime;
  }
  if (!IsCalm && CalmTime >= MinCalmTime) {
    const double Limit = limit(Request, Own, Now);
    const double Next = Own.Served + 1 / RateMemory;
    if (Next > Limit) {
      ++Refused;
      const auto Wait = std::chrono::ceil<milliseconds>(
          seconds(RateMemory * std::log(Next / Limit)));
      return {false, std::clamp(Wait, MinRetryAfter, MaxRetryAfter)};
    }
  }
  Own.Served += 1 / RateMemory;
  All.Served += 1 / RateMemory;
  if (Request.Priority >= LowestPriority || Now - LowestAt > PriorityTime) {
    LowestPriority = Request.Priority;
    LowestAt = Now;
  }
  return {};
}

} // namespace tarragon::account
