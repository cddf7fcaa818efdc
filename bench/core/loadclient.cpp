#include "bench/core/loadclient.h"

#include "bench/core/answerreader.h"
#include "global/json.h"

#include <json/json.h>

namespace tarragon::bench {

namespace {

constexpr std::size_t TicketsAtOnce = 6;
constexpr std::size_t FewTickets = 3;
constexpr milliseconds PollPeriod{20};
constexpr milliseconds TicketWait{5};
constexpr int NotRunDraining = 203;
constexpr int NotRunTicketRetired = 205;
constexpr int NotRunIsolated = 208;
constexpr int OutcomeUnknown = 400;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

} // namespace

struct load_client::flight {
  call_record *Record = nullptr;
  caller *Caller = nullptr;
  time_point Scheduled;
  std::string Ticket;
  std::size_t NextAddress = 0;
};

load_client::load_client(event_loop &Loop, const topology &Topology,
                         const load_settings Settings)
    : Loop(Loop), Settings(Settings), Callers(Settings.Callers) {
  for (std::size_t Number = 0; Number < Topology.EntryCount; ++Number)
    Known.push_back(placeEntry(Topology, Number).Caller);
  for (std::size_t Number = 0; Number < Callers.size(); ++Number) {
    Callers[Number].Domain = domainName(Number % Topology.DomainCount);
    Callers[Number].Addresses = {Known[Number % Known.size()]};
  }
}

auto load_client::prime() -> bool {
  for (caller &Caller : Callers) {
    refresh(Caller, 0);
    refillTickets(Caller);
  }
  const time_point Latest = now() + milliseconds(2000);
  bool AllKnown = false;
  while (!AllKnown && now() < Latest) {
    Loop.runUntil(now() + PollPeriod);
    AllKnown = true;
    for (const caller &Caller : Callers)
      AllKnown = AllKnown && Caller.Expires > now();
  }
  return AllKnown;
}

auto load_client::refresh(caller &Caller, const std::size_t Try) -> void {
  Caller.Asking = true;
  const address &From = Try < Caller.Addresses.size()
                            ? Caller.Addresses[Try]
                            : Known[Try % Known.size()];
  const std::size_t MostTries = Caller.Addresses.size() + Known.size();
  Loop.start({"GET",
              From,
              "/v1/addresses?domain=" + Caller.Domain,
              {},
              {},
              milliseconds(500)},
             [this, &Caller, Try, MostTries](const http_answer &Answer) {
               address_list List;
               if (Answer.Status == 200 && readAddresses(Answer.Body, List)) {
                 if (Caller.Addresses.front() != List.Addresses.front())
                   Caller.Tickets.clear();
                 Caller.Addresses = std::move(List.Addresses);
                 Caller.Expires = now() + List.Lifetime;
                 Caller.Asking = false;
                 return;
               }
               if (Try + 1 < MostTries)
                 refresh(Caller, Try + 1);
               else
                 Caller.Asking = false;
             });
}

auto load_client::refillTickets(caller &Caller) -> void {
  if (Caller.AskingTickets || Caller.Tickets.size() >= FewTickets)
    return;
  Caller.AskingTickets = true;
  Loop.start({"POST",
              Caller.Addresses.front(),
              "/v1/tickets?count=" + std::to_string(TicketsAtOnce),
              {},
              {},
              milliseconds(1000)},
             [this, &Caller](const http_answer &Answer) {
               Caller.AskingTickets = false;
               const auto Body = parseJson(Answer.Body);
               if (Answer.Status != 200 || !Body) {
                 if (!Caller.Asking)
                   refresh(Caller, 1); // the first address doesn't do
                 return;
               }
               for (const Json::Value &Ticket : Body.value()["tickets"])
                 Caller.Tickets.push_back(Ticket.asString());
             });
}

auto load_client::play(const std::vector<scheduled_call> &Calls)
    -> std::vector<call_record> {
  std::vector<call_record> Records;
  begin(Calls, now(), Records);
  while (Open > 0)
    Loop.runUntil(now() + PollPeriod);
  return Records;
}

auto load_client::begin(const std::vector<scheduled_call> &Calls,
                        const time_point Start,
                        std::vector<call_record> &Records) -> void {
  Records.resize(Calls.size());
  Open += Calls.size();
  for (std::size_t Number = 0; Number < Calls.size(); ++Number) {
    Records[Number].Call = Calls[Number];
    const auto Flight = std::make_shared<flight>();
    Flight->Record = &Records[Number];
    Flight->Scheduled = Start + Calls[Number].At;
    Loop.runAt(Flight->Scheduled, [this, Flight] { submit(Flight); });
  }
}

auto load_client::submit(const std::shared_ptr<flight> &Flight) -> void {
  if (!Flight->Caller)
    Flight->Caller = &Callers[NextCaller++ % Callers.size()];
  caller &Caller = *Flight->Caller;
  if (Caller.Expires <= now() && !Caller.Asking)
    refresh(Caller, 0);
  if (Flight->Record->Call.Repeatable) {
    send(Flight);
    return;
  }
  refillTickets(Caller);
  if (!Caller.Tickets.empty()) {
    Flight->Ticket = std::move(Caller.Tickets.front());
    Caller.Tickets.pop_front();
    send(Flight);
    return;
  }
  if (now() < Flight->Scheduled + Settings.Timeout)
    Loop.runAt(now() + TicketWait, [this, Flight] { submit(Flight); });
  else
    receive(Flight, {});
}

auto load_client::send(const std::shared_ptr<flight> &Flight) -> void {
  const scheduled_call &Call = Flight->Record->Call;
  Json::Value Body(Json::objectValue);
  Body["contract"] = Call.Contract;
  Body["body"] = Call.Body;
  if (!Call.Key.empty())
    Body["key"] = Call.Key;
  if (!Flight->Ticket.empty())
    Body["ticket"] = Flight->Ticket;
  ++Flight->Record->Sends;
  const std::vector<address> &Addresses = Flight->Caller->Addresses;
  const address &To = Addresses[Flight->NextAddress++ % Addresses.size()];
  Loop.start(
      {"POST",
       To,
       "/v1/query",
       {"Content-Type: application/json"},
       writeJson(Body),
       Settings.Timeout},
      [this, Flight](const http_answer &Answer) { receive(Flight, Answer); });
}

auto load_client::receive(const std::shared_ptr<flight> &Flight,
                          const http_answer &Answer) -> void {
  call_record &Record = *Flight->Record;
  const bool Read = Answer.Status != 0 && readAnswer(Answer.Body, Record);
  // Other tickets of the same instance would fare no better.
  if (!Read || Record.Code == OutcomeUnknown ||
      Record.Code == NotRunTicketRetired)
    Flight->Caller->Tickets.clear();
  const bool Elsewhere =
      Read ? Record.Code == NotRunDraining || Record.Code == NotRunIsolated
           : Answer.NeverSent || Settings.ResendUnanswered;
  const bool InTime = now() < Flight->Scheduled + Settings.Timeout;
  if (Elsewhere && InTime && Record.Sends > 0 &&
      Record.Sends < Settings.MostSends) {
    send(Flight);
    return;
  }
  Record.Latency =
      std::chrono::duration_cast<microseconds>(now() - Flight->Scheduled);
  --Open;
}

} // namespace tarragon::bench
