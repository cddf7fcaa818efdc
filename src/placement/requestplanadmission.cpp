// The part of a request plan that concerns the admission of whole queries.
#include "placement/latencymodel.h"
#include "placement/queryadmission.h"
#include "placement/requestplan.h"
#include "placement/targetset.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

/// An answer that is final at the end of the objective's time is that much
/// later by its timer.
constexpr milliseconds LateTolerance{10};
/// Where an answer takes this many median latencies, all targets of a service
/// are slow or busy, and a hedge takes a slot from another query.
constexpr int HedgeSlownessLimit = 5;

} // namespace

auto request_plan::tryAdmit(const std::size_t DownParts, const time_point Now)
    -> bool {
  if (!Context.Admission || Parts.size() == 1)
    return true;
  std::vector<std::string> Services;
  for (const part &Part : Parts)
    if (DownParts == 0 || !isServiceDown(Part, Now))
      Services.push_back(Part.Service);
  Admission = Context.Admission->decide(
      Settings, Services, Services.size() - Settings.MinParts, Now);
  if (!Admission.IsAdmitted)
    return false;
  Context.Admission->beginQuery();
  CountsAsOpen = true;
  return true;
}

auto request_plan::openPart(part &Part, const time_point Now) -> void {
  if (!CountsAsOpen || Part.Ticket)
    return;
  double Slots = 0;
  for (const route::target_entry *Entry :
       Context.Targets.registry().usable(Part.Service))
    if (!Context.Targets.health(Entry->Id).isDown(Context.Latencies.median(),
                                                  Now))
      Slots += Entry->Slots;
  Part.Ticket = Context.Admission->open(
      Part.Service, Slots / Context.Targets.instances(), Now);
}

auto request_plan::closePart(part &Part, const time_point Now) -> void {
  if (!Part.Ticket)
    return;
  const part_end Unanswered =
      isUnrecoverable(Part, Now) ? part_end::Lost : part_end::GivenUp;
  Context.Admission->close(Part.Service, *Part.Ticket,
                           Part.Answered ? part_end::Answered : Unanswered,
                           Now);
  Part.Ticket.reset();
}

auto request_plan::endAdmission(const plan_verdict Verdict,
                                const time_point Now) -> void {
  if (CountsAsOpen)
    Context.Admission->endQuery(Verdict != plan_verdict::Answer ||
                                    Now > Settings.EarlyAt + LateTolerance,
                                Now);
  CountsAsOpen = false;
}

auto request_plan::mayHelp(const part &Part, const time_point Now) const
    -> bool {
  const microseconds Median = Context.Latencies.median();
  if (!Part.Ticket || !Context.Admission->isActive(Now) ||
      Context.Admission->expectedTime(Part.Service, Now) <
          Median * HedgeSlownessLimit)
    return true;
  return Context.Targets.health(Part.Attempts.back().Target)
      .isDown(Median, Now);
}

auto request_plan::retryDelay(const time_point Now) const -> milliseconds {
  if (!Admission.IsAdmitted)
    return Admission.RetryAfter;
  milliseconds MaxDelay{0};
  for (const part &Part : Parts)
    if (!Part.Answered)
      MaxDelay =
          std::max(MaxDelay, Context.Targets.retryDelay(Part.Service, Now));
  return MaxDelay;
}

auto request_plan::isComplete() const -> bool {
  return std::all_of(Parts.begin(), Parts.end(),
                     [](const part &Part) { return Part.Answered; });
}

auto request_plan::extraAttempts() const -> std::size_t {
  std::size_t Extra = 0;
  for (const part &Part : Parts)
    Extra += Part.Attempts.empty() ? 0 : Part.Attempts.size() - 1;
  return Extra;
}

} // namespace tarragon::placement
