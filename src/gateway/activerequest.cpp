#include "gateway/activerequest.h"

#include "gateway/accountcounts.h"
#include "gateway/callersession.h"
#include "gateway/gateway.h"
#include "gateway/internal/answerwriter.h"
#include "gateway/internal/requesthead.h"
#include "global/log.h"
#include "route/recordmerge.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tarragon::gateway {

namespace {

using placement::attempt_end;
using placement::plan_verdict;

constexpr unsigned StatusMisdirected = 421;

auto verdictName(const plan_verdict Verdict) -> std::string {
  switch (Verdict) {
  case plan_verdict::Answer:
    return "answer";
  case plan_verdict::TargetError:
    return "target_error";
  case plan_verdict::NotRun:
    return "not_run";
  case plan_verdict::Unavailable:
    return "unavailable";
  case plan_verdict::TimedOut:
    return "timed_out";
  }
  return "unavailable";
}

auto millisecondsSince(const time_point Then, const time_point Now)
    -> std::string {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(Now - Then).count());
}

} // namespace

active_request::active_request(gateway &NewGateway, origin NewOrigin,
                               placement::request_plan NewPlan,
                               const time_point NewDeadline)
    : Gateway(NewGateway), Origin(std::move(NewOrigin)),
      Plan(std::move(NewPlan)), Deadline(NewDeadline),
      Timer(NewGateway.loop()) {
  const header_names &Names = Gateway.settings().Names;
  const caller_request &Request = Origin.Request;
  Id = fieldOrEmpty(Request.Headers, Names.RequestId);
  Fingerprint = fingerprintOf(Request);
  CommonHead = internal::requestHead(
      Request, Names,
      {Origin.Table->set().Accounts.has_value(), Origin.Account});
}

auto active_request::begin() -> void {
  auto Self = shared_from_this();
  Origin.Session->setDisconnectHandler(
      [Self] { Self->onCallerDisconnected(); });
  perform(Plan.start(std::chrono::steady_clock::now()));
}

auto active_request::shorten(const milliseconds Span) -> void {
  if (Plan.finished())
    return;
  Deadline -= Span;
  Plan.shorten(Span);
  perform(Plan.onTimer(std::chrono::steady_clock::now()));
}

auto active_request::endNow() -> void {
  perform(Plan.endNow(std::chrono::steady_clock::now()));
}

auto active_request::perform(const placement::plan_actions &Actions) -> void {
  for (const placement::plan_action &Action : Actions) {
    if (const auto *Send = std::get_if<placement::send_attempt>(&Action))
      send(*Send);
    else if (const auto *Cancel =
                 std::get_if<placement::cancel_attempt>(&Action))
      cancel(Cancel->Key, false);
    else if (const auto *Finish = std::get_if<placement::finish_plan>(&Action))
      finish(*Finish);
  }
  if (!Plan.finished())
    schedule();
}

auto active_request::requestBytes(const route::target_entry &Target,
                                  const time_point Now) const -> std::string {
  const header_names &Names = Gateway.settings().Names;
  const auto Left = std::max<milliseconds>(
      std::chrono::duration_cast<milliseconds>(Deadline - Now),
      milliseconds(1));
  std::string Bytes = CommonHead;
  Bytes += Names.Deadline + ": " + std::to_string(Left.count()) + "\r\n";
  Bytes += Names.ExpectedTarget + ": " + Target.Id + "\r\n\r\n";
  Bytes += Origin.Request.Body;
  return Bytes;
}

auto active_request::send(const placement::send_attempt &Action) -> void {
  const auto Now = std::chrono::steady_clock::now();
  const bool Fresh =
      Origin.Route->Repeatability == route::repeatability::NonIdempotent;
  exchange &Exchange = Exchanges[Action.Key];
  Exchange.Target = Action.Target.Id;
  Exchange.StartedAtMs = Action.Target.StartedAtMs;
  Exchange.SentAt = Now;
  if (!Gateway.targets().registry().isEvacuated(Action.Target))
    Exchange.Connection = Gateway.pool(Action.Target).acquire(Fresh, Now);
  auto Self = shared_from_this();
  const placement::attempt_key Key = Action.Key;
  if (!Exchange.Connection) {
    boost::asio::post(Gateway.loop(), [Self, Key] {
      Self->onEnded(Key, exchange_end::NotSent, {});
    });
    return;
  }
  Exchange.Connection->start(
      {requestBytes(Action.Target, Now), Gateway.settings().Names.RequestId, Id,
       Origin.Request.Method == "HEAD"},
      [Self, Key](const exchange_end End, exchange_answer Answer) {
        Self->onEnded(Key, End, std::move(Answer));
      });
}

auto active_request::cancel(const placement::attempt_key Key,
                            const bool CallerDisconnected) -> void {
  const auto Known = Exchanges.find(Key);
  if (Known == Exchanges.end())
    return;
  Known->second.IsAbandoned = true;
  if (!Known->second.Connection)
    return;
  const auto Connection = std::move(Known->second.Connection);
  Known->second.IsUnsent = !Connection->isConnected();
  Known->second.Connection = nullptr;
  const route::target_entry *Target =
      Gateway.targets().registry().find(Known->second.Target);
  if (CallerDisconnected || !Target)
    Connection->close();
  else
    Gateway.pool(*Target).keepAbandoned(Connection,
                                        std::chrono::steady_clock::now());
}

auto active_request::classify(const exchange_end End,
                              const exchange_answer &Answer) const
    -> attempt_end {
  switch (End) {
  case exchange_end::NotSent:
    return attempt_end::Unreachable;
  case exchange_end::Rejected:
    return attempt_end::Rejected;
  case exchange_end::Broken:
  case exchange_end::TooLong:
    return attempt_end::Broken;
  case exchange_end::Complete:
    break;
  }
  const header_names &Names = Gateway.settings().Names;
  if (Answer.Status == StatusMisdirected)
    return attempt_end::Misdirected;
  if (Answer.find(Names.NotRun))
    return attempt_end::Shed;
  const bool Genuine = Answer.find(Names.RequestId) &&
                       !Answer.find("Content-Encoding") &&
                       Answer.find(Names.Stamp);
  if (Answer.Status >= 200 && Answer.Status < 300)
    return Genuine ? attempt_end::Answered : attempt_end::Broken;
  return attempt_end::Failed;
}

auto active_request::onEnded(const placement::attempt_key Key,
                             const exchange_end End, exchange_answer Answer)
    -> void {
  exchange &Exchange = Exchanges[Key];
  Exchange.Connection = nullptr;
  // Another target that uses the address answers 421.
  if (End == exchange_end::Complete && Answer.Status != StatusMisdirected)
    Gateway.recordNotices(Exchange.Target, Exchange.StartedAtMs, Answer);
  Gateway.checkSuspension();
  if (Plan.finished() || Exchange.IsAbandoned)
    return;
  const attempt_end AttemptEnd = classify(End, Answer);
  Exchange.End = AttemptEnd;
  Exchange.Answer = std::move(Answer);
  Gateway.countAttempt(AttemptEnd);
  if (AttemptEnd == attempt_end::Broken || AttemptEnd == attempt_end::Rejected)
    onBrokenRun(Exchange);
  perform(Plan.onEnded(Key, AttemptEnd, std::chrono::steady_clock::now()));
}

auto active_request::onBrokenRun(const exchange &Exchange) -> void {
  Gateway.checkCrash({Fingerprint, Exchange.Target, Exchange.StartedAtMs,
                      Exchange.SentAt, std::chrono::steady_clock::now()});
}

auto active_request::onCallerDisconnected() -> void {
  if (Plan.finished())
    return;
  Timer.cancel();
  for (const placement::plan_action &Action :
       Plan.abandon(std::chrono::steady_clock::now()))
    if (const auto *Cancel = std::get_if<placement::cancel_attempt>(&Action))
      cancel(Cancel->Key, true);
  Gateway.metrics().counter("tarragon_callers_gone_total").add();
  Gateway.release(shared_from_this());
}

auto active_request::schedule() -> void {
  // A timer that fires too early costs less than setting it again after each
  // answer.
  if (TimerSet && Timer.expiry() <= Plan.nextWake())
    return;
  TimerSet = true;
  Timer.expires_at(Plan.nextWake());
  auto Self = shared_from_this();
  Timer.async_wait([Self](const boost::system::error_code &Error) {
    if (Error || Self->Plan.finished())
      return;
    Self->Gateway.checkSuspension();
    if (Self->Plan.finished())
      return;
    const auto Now = std::chrono::steady_clock::now();
    Self->TimerSet = false;
    if (Now < Self->Plan.nextWake())
      return Self->schedule();
    Self->Gateway.recordLateness(Now - Self->Plan.nextWake());
    Self->perform(Self->Plan.onTimer(Now));
  });
}

auto active_request::forwardedAnswer(const exchange_answer &Answer) const
    -> caller_answer {
  caller_answer Forwarded;
  Forwarded.Status = Answer.Status;
  Forwarded.Reason = Answer.Reason;
  const bool IsHead = Origin.Request.Method == "HEAD";
  for (const header_field &Field : internal::forwardedHeaders(Answer.Headers))
    Forwarded.Headers.push_back(Field);
  Forwarded.BodyOmitted = IsHead;
  if (const std::string *Length = Answer.find("Content-Length"))
    Forwarded.OmittedLength = *Length;
  Forwarded.Body = Answer.Body;
  return Forwarded;
}

auto active_request::mergedAnswer() -> caller_answer {
  const header_names &Names = Gateway.settings().Names;
  std::vector<std::string_view> Parts;
  std::string Stamps;
  for (const auto &[Key, Exchange] : Exchanges) {
    const exchange_answer &Answer = Exchange.Answer;
    if (Exchange.End != attempt_end::Answered)
      continue;
    Parts.push_back(Answer.Body);
    Stamps += Stamps.empty() ? "" : ", ";
    Stamps += *Answer.find(Names.Stamp);
  }
  caller_answer Merged;
  Merged.Headers.push_back({Names.RequestId, Id});
  Merged.Headers.push_back({Names.PartStamps, Stamps});
  const std::size_t Missing = Origin.Route->Shards.size() - Parts.size();
  Merged.Headers.push_back({Names.MissingParts, std::to_string(Missing)});
  Merged.Body = route::mergeGreatest(Parts, Origin.Route->TopRecords);
  return Merged;
}

auto active_request::makeAnswer(const placement::finish_plan &Finish)
    -> caller_answer {
  caller_answer Answer;
  switch (Finish.Verdict) {
  case plan_verdict::Answer:
    if (Origin.Route->scattered())
      return mergedAnswer();
    for (const auto &[Key, Exchange] : Exchanges)
      if (Exchange.End == attempt_end::Answered)
        return forwardedAnswer(Exchange.Answer);
    break;
  case plan_verdict::TargetError:
    return forwardedAnswer(Exchanges[Finish.Failure].Answer);
  case plan_verdict::NotRun:
    Answer.Status = 503;
    Answer.Headers.push_back(
        {"Retry-After",
         internal::secondsText(Gateway.jittered(Finish.RetryAfter))});
    Answer.Body = "not run\n";
    return Answer;
  case plan_verdict::Unavailable:
    break;
  case plan_verdict::TimedOut:
    Answer.Status = 504;
    Answer.Body = "timed out\n";
    return Answer;
  }
  Answer.Status = 502;
  Answer.Body = "no whole answer\n";
  return Answer;
}

auto active_request::isProvenNotRun() const -> bool {
  return std::all_of(Exchanges.begin(), Exchanges.end(), [](const auto &Each) {
    const exchange &Exchange = Each.second;
    return Exchange.IsUnsent ||
           (!Exchange.IsAbandoned && !placement::mayHaveRun(Exchange.End));
  });
}

auto active_request::finish(placement::finish_plan Finish) -> void {
  Timer.cancel();
  // The plan doesn't know whether an abandoned attempt was still connecting, in
  // which case the request was not executed.
  const bool Unanswered = Finish.Verdict == plan_verdict::Unavailable ||
                          Finish.Verdict == plan_verdict::TimedOut;
  if (Unanswered && isProvenNotRun())
    Finish.Verdict = plan_verdict::NotRun;
  caller_answer Answer = makeAnswer(Finish);
  report(Finish, Answer);
  if (Finish.Verdict == plan_verdict::Answer)
    Gateway.poison().recordSuccess(Fingerprint);
  Origin.Session->answer(std::move(Answer));
  Gateway.release(shared_from_this());
}

auto active_request::missingParts() const -> std::string {
  std::vector<bool> IsAnswered(Plan.settings().Services.size());
  for (const auto &[Key, Exchange] : Exchanges)
    if (Exchange.End == attempt_end::Answered)
      IsAnswered[Key.Part] = true;
  std::string Missing;
  for (std::size_t Part = 0; Part < IsAnswered.size(); ++Part)
    if (!IsAnswered[Part])
      Missing += (Missing.empty() ? "" : ",") + Plan.settings().Services[Part];
  return Missing;
}

auto active_request::attemptsText() const -> std::string {
  std::string Text;
  for (const auto &[Key, Exchange] : Exchanges) {
    if (Exchange.End == attempt_end::Answered)
      continue;
    Text += (Text.empty() ? "" : " ") + std::to_string(Key.Part) + "." +
            std::to_string(Key.Attempt) + ":" + Exchange.Target + "=" +
            std::string(placement::name(Exchange.End));
  }
  return Text;
}

auto active_request::report(const placement::finish_plan &Finish,
                            const caller_answer &Answer) -> void {
  const auto Now = std::chrono::steady_clock::now();
  const std::string Verdict = verdictName(Finish.Verdict);
  const std::string Kind = Origin.Route->scattered() ? "scattered" : "single";
  report::metrics_registry &Metrics = Gateway.metrics();
  Metrics.counter("tarragon_requests_total", {{"kind", Kind}, {"end", Verdict}})
      .add();
  Metrics.counter("tarragon_extra_attempts_total").add(Plan.extraAttempts());
  Metrics.summary("tarragon_request_seconds", {{"kind", Kind}})
      .observe(std::chrono::duration_cast<microseconds>(
          Now - Origin.Request.ReceivedAt));
  const bool IsServed = Finish.Verdict == plan_verdict::Answer;
  if (Origin.Account && (IsServed || Finish.Verdict == plan_verdict::NotRun))
    Gateway.accountCounts().add(
        Origin.Account->Name,
        IsServed ? account_event::Served : account_event::NoCapacity, Now);
  if (!Plan.admission().IsAdmitted)
    Gateway.queryRefusals().record(Origin.Route->Name, Id, Plan.admission(),
                                   Now);
  if (IsServed && Plan.isComplete())
    return;
  log::write(log::level::Info, log::part::Query,
             Finish.Verdict == plan_verdict::Answer ? "answer is missing parts"
                                                    : "request failed",
             {{"request", Id},
              {"route", Origin.Route->Name},
              {"version", std::to_string(Origin.Table->set().Version)},
              {"verdict", Verdict},
              {"status", std::to_string(Answer.Status)},
              {"attempts", attemptsText()},
              {"missing", missingParts()},
              {"ms", millisecondsSince(Origin.Request.ReceivedAt, Now)}});
}

} // namespace tarragon::gateway
