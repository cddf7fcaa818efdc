#include "membership/membertable.h"

#include <algorithm>

namespace tarragon::membership {

namespace {

/// Probe timeouts allowed for an indirect ack, which takes two more hops.
constexpr int IndirectTimeouts = 2;

} // namespace

auto member_table::onAck(const gossip_message &Message, const time_point Now,
                         messages &Out) -> void {
  const auto Relay = Relays.find(Message.Sequence);
  if (Relay != Relays.end() && Relay->second.About == Message.From.Id) {
    const relay Request = std::move(Relay->second);
    Relays.erase(Relay);
    gossip_message Answer =
        compose(gossip_kind::Ack, Request.Sequence, Request.Requester);
    Answer.About = Request.About;
    if (const member_record *Record = Registry.find(Request.About))
      Answer.Updates.push_back(Record->update());
    Out.push_back({Request.Requester, std::move(Answer)});
    return;
  }
  const auto Probe = Probes.find(Message.Sequence);
  const instance_id &Answered =
      Message.About.empty() ? Message.From.Id : Message.About;
  if (Probe == Probes.end() || Probe->second.Member != Answered)
    return;
  // An ack that waited while this process was paused says nothing about the
  // present.
  if (Now <= Probe->second.Deadline)
    LastAck = Now;
  Probes.erase(Probe);
}

auto member_table::onPingRequest(const gossip_message &Message,
                                 const time_point Now, messages &Out) -> void {
  const member_record *Record = Registry.find(Message.About);
  if (Record == nullptr)
    return;
  const std::uint64_t Sequence = NextSequence++;
  Relays[Sequence] = {Message.From, Message.Sequence, Message.About,
                      Now + IndirectTimeouts * Settings.ProbeTimeout};
  const instance &To = Record->Instance;
  Out.push_back({To, compose(gossip_kind::Ping, Sequence, To)});
}

auto member_table::resetAfterPause(const time_point Now) -> void {
  Probes.clear();
  Relays.clear();
  Registry.restartSuspicions(suspicionTime(), Now);
}

auto member_table::runProbeDeadlines(const time_point Now, messages &Out)
    -> void {
  std::erase_if(Relays, [Now](const auto &Entry) {
    return Entry.second.Deadline <= Now;
  });
  std::vector<std::uint64_t> Due;
  for (const auto &[Sequence, Probe] : Probes)
    if (Probe.Deadline <= Now)
      Due.push_back(Sequence);
  for (const std::uint64_t Sequence : Due) {
    probe &Probe = Probes[Sequence];
    const member_record *Record = Registry.find(Probe.Member);
    if (Record == nullptr || Probe.Contact || Probe.Indirect) {
      if (!Probe.Contact)
        suspect(Probe.Member, Now, Out);
      Probes.erase(Sequence);
      continue;
    }
    Probe.Indirect = true;
    Probe.Deadline = Now + IndirectTimeouts * Settings.ProbeTimeout;
    probeIndirectly(Sequence, Record->Instance, Out);
  }
}

auto member_table::startProbes(const time_point Now, messages &Out) -> void {
  for (std::size_t Count = 0; Count < Settings.ProbesPerPeriod; ++Count) {
    const auto Id = Round.next(Registry.records(), Random);
    if (!Id)
      break;
    ping(Registry.find(*Id)->Instance, false, Now, Out);
  }
  probeContacts(Now, Out);
}

auto member_table::ping(const instance &To, const bool Contact,
                        const time_point Now, messages &Out) -> void {
  const std::uint64_t Sequence = NextSequence++;
  Probes[Sequence] = {To.Id, Now + Settings.ProbeTimeout, Contact, false};
  Out.push_back({To, compose(gossip_kind::Ping, Sequence, To)});
}

auto member_table::probeIndirectly(const std::uint64_t Sequence,
                                   const instance &About, messages &Out)
    -> void {
  Out.push_back({About, compose(gossip_kind::Ping, Sequence, About)});
  const auto Helpers = Round.sample(Registry.records(), Settings.IndirectProbes,
                                    About.Id, Random);
  for (const instance_id &Id : Helpers) {
    const instance &To = Registry.find(Id)->Instance;
    gossip_message Request = compose(gossip_kind::PingRequest, Sequence, To);
    Request.About = About.Id;
    Out.push_back({To, std::move(Request)});
  }
}

auto member_table::probeContacts(const time_point Now, messages &Out) -> void {
  instance_id First;
  for (std::size_t Count = 0; Count < Settings.ProbesPerPeriod; ++Count) {
    const auto Addresses = Registry.contactAfter(LastContact);
    if (Addresses.empty() || Addresses.front().Id == First)
      return;
    LastContact = Addresses.front().Id;
    if (First.empty())
      First = LastContact;
    for (const instance &To : Addresses)
      ping(To, true, Now, Out);
  }
}

auto member_table::suspect(const instance_id &Id, const time_point Now,
                           messages &Out) -> void {
  if (!Registry.suspect(Id, suspicionTime(), Now))
    return;
  Queue.push(Id);
  const instance &To = Registry.find(Id)->Instance;
  Out.push_back({To, compose(gossip_kind::Ping, NextSequence++, To)});
}

} // namespace tarragon::membership
