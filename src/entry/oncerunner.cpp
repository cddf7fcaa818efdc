#include "entry/oncerunner.h"

#include "entry/refusedanswer.h"
#include "entry/requestjson.h"
#include "global/json.h"
#include "world/types/accountheaders.h"

#include <json/json.h>

namespace tarragon::entry {

namespace {

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Returns the answer of the instance the request was forwarded to, or
/// OutcomeUnknown when it sent none.
auto readForwardedReply(const query_request &Request,
                        const transport::http_reply &Reply) -> query_answer {
  const auto Unknown = [&Request] {
    return refusedAnswer(Request, result_code::OutcomeUnknown,
                         "the instance that issued the ticket did not answer");
  };
  if (Reply.End != transport::call_end::Replied)
    return Unknown();
  const auto Body = parseJson(Reply.Body);
  if (!Body)
    return Unknown();
  auto Answer = readAnswerJson(Body.value());
  return Answer ? std::move(Answer.value()) : Unknown();
}

} // namespace

once_runner::once_runner(const entry_settings &Settings, run_function Run,
                         find_function Find)
    : Self(Settings.Self.Id), Run(std::move(Run)), Find(std::move(Find)),
      Ledger(Settings.Self.Id, Settings.Self.Incarnation, now(),
             Settings.TicketLifetime),
      Client(transport::http_client_settings{}) {}

auto once_runner::issue(const std::size_t Count) -> std::vector<std::string> {
  const std::lock_guard Lock(Mutex);
  Ledger.expire(now());
  std::vector<std::string> Texts;
  for (const once::ticket &Ticket : Ledger.issue(Count, now()))
    Texts.push_back(once::formatTicket(Ticket));
  return Texts;
}

auto once_runner::handle(query_request Request, const fingerprint Fingerprint,
                         const bool Forwarded,
                         const milliseconds ForwardTimeout, completion Done)
    -> void {
  if (!Request.Ticket)
    return Done(refusedAnswer(Request, result_code::TicketRequired));
  const auto Ticket = once::parseTicket(*Request.Ticket);
  if (!Ticket)
    return Done(refusedAnswer(Request, result_code::MalformedTicket));
  once::ledger_verdict Verdict;
  {
    const std::lock_guard Lock(Mutex);
    Verdict = Ledger.begin(*Ticket, Fingerprint, now());
    if (std::holds_alternative<once::await_answer>(Verdict)) {
      Waiting[Ticket->Number].push_back({Request.RequestId, std::move(Done)});
      return;
    }
  }
  if (std::holds_alternative<once::run_now>(Verdict))
    return runNow(*Ticket, std::move(Request), std::move(Done));
  if (auto *Replay = std::get_if<once::replay_answer>(&Verdict)) {
    Replay->Answer.RequestId = Request.RequestId;
    return Done(std::move(Replay->Answer));
  }
  const auto To = std::get<once::forward_to>(Verdict);
  if (Forwarded)
    return Done(refusedAnswer(Request, result_code::OutcomeUnknown,
                              "the ticket was issued by another instance"));
  forward(Request, To, ForwardTimeout, std::move(Done));
}

auto once_runner::runNow(const once::ticket &Ticket, query_request Request,
                         completion Done) -> void {
  {
    const std::lock_guard Lock(Mutex);
    Waiting[Ticket.Number].push_back({Request.RequestId, std::move(Done)});
  }
  Run(std::move(Request), [this, Ticket](query_answer Answer) {
    onRunFinished(Ticket, std::move(Answer));
  });
}

auto once_runner::onRunFinished(const once::ticket &Ticket, query_answer Answer)
    -> void {
  std::vector<waiter> Waiters;
  {
    const std::lock_guard Lock(Mutex);
    Ledger.finish(Ticket, Answer, now());
    const auto Found = Waiting.find(Ticket.Number);
    if (Found != Waiting.end()) {
      Waiters = std::move(Found->second);
      Waiting.erase(Found);
    }
  }
  for (const waiter &Waiter : Waiters) {
    Answer.RequestId = Waiter.RequestId;
    Waiter.Done(Answer);
  }
}

auto once_runner::forward(const query_request &Request,
                          const once::forward_to &To,
                          const milliseconds ForwardTimeout, completion Done)
    -> void {
  const auto Issuer = Find(To.Instance);
  const bool SameIncarnation = Issuer && Issuer->Incarnation == To.Incarnation;
  if (!SameIncarnation)
    return Done(refusedAnswer(
        Request, result_code::OutcomeUnknown,
        "the instance that issued the ticket is no longer running"));
  transport::http_call Call;
  Call.To = Issuer->CallerAddress;
  Call.Path = "/v1/query?forwarded=1";
  Call.Body = writeJson(requestJson(Request));
  // The other instance identifies the caller itself.
  for (const std::string &Key : Request.ApiKeys)
    Call.Headers.push_back(std::string(ApiKeyHeader) + ": " + Key);
  Call.Timeout = ForwardTimeout;
  Client.start(std::move(Call), [Request, Done = std::move(Done)](
                                    const transport::http_reply &Reply) {
    Done(readForwardedReply(Request, Reply));
  });
}

auto once_runner::seal() -> void {
  const std::lock_guard Lock(Mutex);
  Ledger.seal();
}

auto once_runner::isFinal() const -> bool {
  const std::lock_guard Lock(Mutex);
  return Ledger.isFinal();
}

auto once_runner::sealedCopy() const -> once::sealed_ledger {
  const std::lock_guard Lock(Mutex);
  return Ledger.sealedCopy();
}

auto once_runner::adopt(once::sealed_ledger Sealed) -> void {
  const std::lock_guard Lock(Mutex);
  Ledger.adopt(std::move(Sealed), now());
}

auto once_runner::size() const -> std::size_t {
  const std::lock_guard Lock(Mutex);
  return Ledger.size();
}

} // namespace tarragon::entry
