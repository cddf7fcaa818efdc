// Events outside the processing of a request: notices and crashes of targets,
// suspensions of the machine and the end of the instance.
#include "gateway/gateway.h"

#include "account/quotaledger.h"
#include "gateway/activerequest.h"
#include "gateway/internal/answerwriter.h"
#include "gateway/internal/loadheader.h"
#include "global/boottime.h"
#include "global/log.h"

namespace tarragon::gateway {

namespace {

constexpr unsigned StatusUnavailable = 503;
/// Shorter ones are not told from the time between two readings of the clocks.
constexpr milliseconds MinSuspension{50};

} // namespace

auto gateway::markLeaving(const std::string &Target,
                          const std::int64_t StartedAtMs) -> void {
  const auto Changes = Targets.registry().markLeaving(Target, StartedAtMs);
  if (!Changes.empty())
    applyTargets(Changes);
}

auto gateway::recordNotices(const std::string &Target,
                            const std::int64_t StartedAtMs,
                            const exchange_answer &Answer) -> void {
  recordCold(Target, StartedAtMs, Answer);
  const std::string *Leaving = Answer.find(Settings.Names.Leaving);
  if (Leaving && *Leaving == "1") {
    const route::target_entry *Entry = Targets.registry().find(Target);
    const bool IsNews = Entry && !Entry->Draining;
    markLeaving(Target, StartedAtMs);
    if (IsNews && LeavingHandler)
      LeavingHandler(Target, StartedAtMs);
  }
  recordLoad(Target, StartedAtMs, Answer);
  if (Answer.Status != StatusUnavailable)
    return;
  const std::string *Text = Answer.find("Retry-After");
  const auto Pause = Text ? internal::parseSeconds(*Text) : std::nullopt;
  if (!Pause || Pause->count() == 0)
    return;
  const auto Now = std::chrono::steady_clock::now();
  if (Targets.registry().find(Target) &&
      !Targets.health(Target).isClosed(Now)) {
    Metrics.counter("tarragon_target_closures_total").add();
    log::write(log::level::Info, log::part::Admission,
               "target asks for no requests for a while",
               {{"target", Target}, {"ms", std::to_string(Pause->count())}});
  }
  Targets.close(Target, Now + *Pause);
}

auto gateway::recordLoad(const std::string &Target,
                         const std::int64_t StartedAtMs,
                         const exchange_answer &Answer) -> void {
  if (Settings.Names.Load.empty())
    return;
  const std::string *Text = Answer.find(Settings.Names.Load);
  const auto Load = Text ? internal::parseLoad(*Text) : std::nullopt;
  if (Load)
    Targets.recordLoad(Target, StartedAtMs, *Load,
                       std::chrono::steady_clock::now());
}

auto gateway::checkCrash(admission::crashed_run Run) -> void {
  const route::target_entry *Entry = Targets.registry().find(Run.Target);
  if (!Entry || Targets.registry().isEvacuated(*Entry))
    return;
  const auto Probe = pool(*Entry).openProbe(std::chrono::steady_clock::now());
  if (!Probe)
    return;
  Probe->setClosedHandler(
      [this, Probe = std::weak_ptr(Probe), Run = std::move(Run)] {
        const auto Ended = Probe.lock();
        if (!Ended || Ended->isConnected())
          return;
        Crashes.add(Run, std::chrono::steady_clock::now());
        log::write(log::level::Info, log::part::Admission,
                   "target crashed while running a request",
                   {{"target", Run.Target},
                    {"fingerprint", std::to_string(Run.Request)}});
      });
}

auto gateway::publishCrashes(const time_point Now) -> void {
  for (const admission::crash_report &Report : Crashes.take(Now)) {
    Poison.recordCrash(Report, Now);
    if (CrashHandler)
      CrashHandler(Report);
  }
}

auto gateway::checkSuspension() -> void {
  const auto Offset = bootTime() - std::chrono::steady_clock::now();
  const auto Span =
      std::chrono::duration_cast<milliseconds>(Offset - ClockOffset);
  if (Span < MinSuspension)
    return;
  ClockOffset = Offset;
  onSuspended(Span);
}

auto gateway::onSuspended(const milliseconds Span) -> void {
  log::write(log::level::Warning, log::part::Entry, "the machine was suspended",
             {{"ms", std::to_string(Span.count())},
              {"at_hand", std::to_string(Active.size())}});
  if (account::quota_ledger *Ledger = quotas())
    Ledger->onSuspended(std::chrono::steady_clock::now());
  Targets.cold().hold(std::chrono::steady_clock::now());
  for (const std::shared_ptr<active_request> &Request : activeRequests())
    Request->shorten(Span);
}

auto gateway::endRequests() -> void {
  for (const std::shared_ptr<active_request> &Request : activeRequests())
    Request->endNow();
}

auto gateway::activeRequests() const
    -> std::vector<std::shared_ptr<active_request>> {
  return {Active.begin(), Active.end()};
}

} // namespace tarragon::gateway
