#include "bench/core/loadclient.h"

#include "bench/core/answerreader.h"
#include "global/json.h"

#include <json/json.h>

namespace tarragon::bench {

namespace {

constexpr std::size_t TicketBatchSize = 6;
constexpr std::size_t MinTickets = 3;
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
    SeedAddresses.push_back(placeEntry(Topology, Number).Caller);
  for (std::size_t Number = 0; Number < Callers.size(); ++Number) {
    Callers[Number].Domain = domainName(Number % Topology.DomainCount);
    Callers[Number].Addresses = {SeedAddresses[Number % SeedAddresses.size()]};
  }
}

auto load_client::prime() -> bool {
  for (caller &Caller : Callers) {
    refresh(Caller, 0);
    refillTickets(Caller);
  }
  const time_point Deadline = now() + milliseconds(2000);
  bool AllKnown = false;
  while (!AllKnown && now() < Deadline) {
    Loop.runUntil(now() + PollPeriod);
    AllKnown = true;
    for (const caller &Caller : Callers)
      AllKnown = AllKnown && Caller.Expires > now();
  }
  return AllKnown;
}

auto load_client::refresh(caller &Caller, const std::size_t Attempt) -> void {
  Caller.Refreshing = true;
  const address &From = Attempt < Caller.Addresses.size()
                            ? Caller.Addresses[Attempt]
                            : SeedAddresses[Attempt % SeedAddresses.size()];
  const std::size_t MaxAttempts =
      Caller.Addresses.size() + SeedAddresses.size();
  Loop.start({"GET",
              From,
              "/v1/addresses?domain=" + Caller.Domain,
              {},
              {},
              milliseconds(500)},
             [this, &Caller, Attempt, MaxAttempts](const http_answer &Answer) {
               address_list List;
               if (Answer.Status == 200 && readAddresses(Answer.Body, List)) {
                 if (Caller.Addresses.front() != List.Addresses.front())
                   Caller.Tickets.clear();
                 Caller.Addresses = std::move(List.Addresses);
                 Caller.Expires = now() + List.Lifetime;
                 Caller.Refreshing = false;
                 return;
               }
               if (Attempt + 1 < MaxAttempts)
                 refresh(Caller, Attempt + 1);
               else
                 Caller.Refreshing = false;
             });
}

auto load_client::refillTickets(caller &Caller) -> void {
  if (Caller.RequestingTickets || Caller.Tickets.size() >= MinTickets)
    return;
  Caller.RequestingTickets = true;
  Loop.start({"POST",
              Caller.Addresses.front(),
              "/v1/tickets?count=" + std::to_string(TicketBatchSize),
              {},
              {},
              milliseconds(1000)},
             [this, &Caller](const http_answer &Answer) {
               Caller.RequestingTickets = false;
               const auto Body = parseJson(Answer.Body);
               if (Answer.Status != 200 || !Body) {
                 if (!Caller.Refreshing)
                   refresh(Caller, 1); // skips the first address
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
  while (InFlight > 0)
    Loop.runUntil(now() + PollPeriod);
  return Records;
}

auto load_client::begin(const std::vector<scheduled_call> &Calls,
                        const time_point Start,
                        std::vector<call_record> &Records) -> void {
  Records.resize(Calls.size());
  InFlight += Calls.size();
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
  if (Caller.Expires <= now() && !Caller.Refreshing)
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
  const bool Parsed = Answer.Status != 0 && readAnswer(Answer.Body, Record);
  // Other tickets of the same instance would fail in the same way.
  if (!Parsed || Record.Code == OutcomeUnknown ||
      Record.Code == NotRunTicketRetired)
    Flight->Caller->Tickets.clear();
  const bool ResendElsewhere =
      Parsed ? Record.Code == NotRunDraining || Record.Code == NotRunIsolated
             : Answer.NotConnected || Settings.ResendUnanswered;
  const bool InTime = now() < Flight->Scheduled + Settings.Timeout;
  if (ResendElsewhere && InTime && Record.Sends > 0 &&
      Record.Sends < Settings.MaxSends) {
    send(Flight);
    return;
  }
  Record.Latency =
      std::chrono::duration_cast<microseconds>(now() - Flight->Scheduled);
  --InFlight;
}

} // namespace tarragon::bench
