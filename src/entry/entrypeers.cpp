// The half of entry that answers peers and settles subrequests.
#include "entry/entry.h"

#include "config/deploymentfile.h"
#include "global/log.h"

namespace tarragon::entry {

namespace {

constexpr std::size_t MostReports = 256;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto toOffer(const config::accepted_config &Config) -> peer::config_offer {
  return {Config.Version, Config.Text, Config.ContentHash, Config.ChangeId,
          Config.Operator};
}

auto fromOffer(const peer::config_offer &Offer) -> config::accepted_config {
  config::accepted_config Config;
  Config.Version = Offer.Version;
  Config.Text = Offer.Text;
  Config.ContentHash = Offer.ContentHash;
  Config.ChangeId = Offer.ChangeId;
  Config.Operator = Offer.Operator;
  return Config;
}

} // namespace

auto entry::onPeerMessage(const instance &From, peer::peer_message Message)
    -> void {
  Router->peerHeard(From.Id);
  {
    const std::lock_guard Lock(SenderMutex);
    Senders[From.Id] = From;
  }
  std::visit([this, &From](auto &&One) { handle(From, std::move(One)); },
             std::move(Message));
}

auto entry::handle(const instance &, peer::dispatch_message Message) -> void {
  runAtGroup(std::move(Message.Request));
}

auto entry::handle(const instance &From, const peer::cancel_message &Message)
    -> void {
  Dispatch->cancel(Message.Id, From.Id, Message.Group);
}

auto entry::handle(const instance &, const peer::settle_message &Message)
    -> void {
  settleHere(Message.Settlement);
}

auto entry::handle(const instance &, const membership::gossip_message &Message)
    -> void {
  Members->onMessage(Message);
}

auto entry::handle(const instance &, const peer::crash_message &Message)
    -> void {
  const std::lock_guard Lock(PoisonMutex);
  Poison.recordCrash(Message.Report, now());
}

auto entry::handle(const instance &From, const peer::config_request &Message)
    -> void {
  const auto Newest = Config->newest();
  if (Newest.Version > Message.Have)
    Peers->send(From, toOffer(Newest));
  // Whoever asks is new or was away: it may not know what is held.
  std::vector<admission::crash_report> Reports;
  {
    const std::lock_guard Lock(PoisonMutex);
    Reports = Poison.reports(MostReports, now());
  }
  for (const admission::crash_report &Report : Reports)
    Peers->send(From, peer::crash_message{Report});
}

auto entry::handle(const instance &, const peer::config_offer &Message)
    -> void {
  Config->adopt(fromOffer(Message));
}

auto entry::handle(const instance &From, peer::ledger_message Message) -> void {
  log::write(log::level::Info, log::part::Once, "ledger taken over",
             {{"from", From.Id},
              {"tickets", std::to_string(Message.Ledger.Answers.size())}});
  Once->adopt(std::move(Message.Ledger));
}

auto entry::onPeerLost(const instance &Peer) -> void {
  const auto Ids = Router->peerLost(Peer.Id);
  Metrics.counter("tarragon_peer_calls_lost_total", {{"peer", Peer.Id}}).add();
  if (!Ids.empty())
    log::write(log::level::Warning, log::part::Transport,
               "peer is silent, its subrequests are asked elsewhere",
               {{"peer", Peer.Id}, {"count", std::to_string(Ids.size())}});
  for (const subrequest_id &Id : Ids) {
    settlement Lost;
    Lost.Id = Id;
    Lost.Outcome = attempt_outcome::NotSent;
    Lost.ProvenNotRun = false; // the owner may have run it
    settleHere(Lost);
  }
}

auto entry::onSettled(const instance_id &Root, settlement Settlement) -> void {
  if (Root == Settings.Self.Id)
    return settleHere(Settlement);
  instance To;
  {
    // The member table may not know the sender of a dispatch yet.
    const std::lock_guard Lock(SenderMutex);
    const auto Found = Senders.find(Root);
    if (Found == Senders.end())
      return;
    To = Found->second;
  }
  Peers->send(To, peer::settle_message{std::move(Settlement)});
}

auto entry::settleHere(const settlement &Settlement) -> void {
  Router->settled(Settlement.Id);
  Queries->settle(Settlement);
}

auto entry::runAtGroup(subrequest Request) -> void {
  auto Verdict = admission::poison_verdict::Clear;
  {
    const std::lock_guard Lock(PoisonMutex);
    Verdict = Poison.verdict(Request.Fingerprint, now());
  }
  // The owner of a group hears first of its crashes: other roots may not know
  // yet what they send.
  if (Verdict == admission::poison_verdict::Held) {
    settlement Held;
    Held.Id = Request.Id;
    Held.Outcome = attempt_outcome::NotRun;
    Held.ProvenNotRun = true;
    return onSettled(Request.Root, std::move(Held));
  }
  if (Verdict == admission::poison_verdict::Suspect)
    Request.Suspect = true;
  Dispatch->submit(std::move(Request));
}

auto entry::reportCrash(const admission::crash_report &Report) -> void {
  log::write(log::level::Warning, log::part::Admission,
             "target crashed under a request", {{"target", Report.Target}});
  {
    const std::lock_guard Lock(PoisonMutex);
    Poison.recordCrash(Report, now());
  }
  toLivePeers(peer::crash_message{Report});
}

auto entry::toLivePeers(const peer::peer_message &Message) -> void {
  for (const instance &Member : Members->members()) {
    const bool Other = Member.Id != Settings.Self.Id;
    if (Other && Member.State == instance_state::Live)
      Peers->send(Member, Message);
  }
}

} // namespace tarragon::entry
