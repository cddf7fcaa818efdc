#include "membership/membertable.h"

#include <algorithm>

namespace tarragon::membership {

namespace {

/// How many probe timeouts the indirect answer may take: two more hops.
constexpr int IndirectTimeouts = 2;

} // namespace

auto member_table::onAck(const gossip_message &Message, const time_point Now,
                         messages &Out) -> void {
  const auto Relay = Relays.find(Message.Sequence);
  if (Relay != Relays.end() && Relay->second.About == Message.From.Id) {
    const relay Asked = std::move(Relay->second);
    Relays.erase(Relay);
    gossip_message Answer =
        compose(gossip_kind::Ack, Asked.Sequence, Asked.Requester);
    Answer.About = Asked.About;
    if (const member_record *Record = Book.find(Asked.About))
      Answer.Updates.push_back(Record->update());
    Out.push_back({Asked.Requester, std::move(Answer)});
    return;
  }
  const auto Probe = Probes.find(Message.Sequence);
  const instance_id &Answered =
      Message.About.empty() ? Message.From.Id : Message.About;
  if (Probe == Probes.end() || Probe->second.Target != Answered)
    return;
  // An answer that waited through our own pause says nothing of now.
  if (Now <= Probe->second.Deadline)
    LastAnswer = Now;
  Probes.erase(Probe);
}

auto member_table::onPingRequest(const gossip_message &Message,
                                 const time_point Now, messages &Out) -> void {
  const member_record *Record = Book.find(Message.About);
  if (Record == nullptr)
    return;
  const std::uint64_t Sequence = NextSequence++;
  Relays[Sequence] = {Message.From, Message.Sequence, Message.About,
                      Now + IndirectTimeouts * Settings.ProbeTimeout};
  const instance &To = Record->Instance;
  Out.push_back({To, compose(gossip_kind::Ping, Sequence, To)});
}

auto member_table::forgiveAfterPause(const time_point Now) -> void {
  Probes.clear();
  Relays.clear();
  Book.restartSuspicions(suspicionTime(), Now);
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
    const member_record *Record = Book.find(Probe.Target);
    if (Record == nullptr || Probe.Contact || Probe.Indirect) {
      if (!Probe.Contact)
        suspect(Probe.Target, Now, Out);
      Probes.erase(Sequence);
      continue;
    }
    Probe.Indirect = true;
    Probe.Deadline = Now + IndirectTimeouts * Settings.ProbeTimeout;
    askAgain(Sequence, Record->Instance, Out);
  }
}

auto member_table::startProbes(const time_point Now, messages &Out) -> void {
  for (std::size_t Count = 0; Count < Settings.ProbesPerPeriod; ++Count) {
    const auto Id = Round.next(Book.records(), Random);
    if (!Id)
      break;
    ping(Book.find(*Id)->Instance, false, Now, Out);
  }
  probeContacts(Now, Out);
}

auto member_table::ping(const instance &To, const bool Contact,
                        const time_point Now, messages &Out) -> void {
  const std::uint64_t Sequence = NextSequence++;
  Probes[Sequence] = {To.Id, Now + Settings.ProbeTimeout, Contact, false};
  Out.push_back({To, compose(gossip_kind::Ping, Sequence, To)});
}

auto member_table::askAgain(const std::uint64_t Sequence, const instance &About,
                            messages &Out) -> void {
  Out.push_back({About, compose(gossip_kind::Ping, Sequence, About)});
  const auto Helpers =
      Round.sample(Book.records(), Settings.IndirectProbes, About.Id, Random);
  for (const instance_id &Id : Helpers) {
    const instance &To = Book.find(Id)->Instance;
    gossip_message Request = compose(gossip_kind::PingRequest, Sequence, To);
    Request.About = About.Id;
    Out.push_back({To, std::move(Request)});
  }
}

auto member_table::probeContacts(const time_point Now, messages &Out) -> void {
  instance_id First;
  for (std::size_t Count = 0; Count < Settings.ProbesPerPeriod; ++Count) {
    const auto Addresses = Book.contactAfter(LastContact);
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
  if (!Book.suspect(Id, suspicionTime(), Now))
    return;
  Queue.push(Id);
  const instance &To = Book.find(Id)->Instance;
  Out.push_back({To, compose(gossip_kind::Ping, NextSequence++, To)});
}

} // namespace tarragon::membership
