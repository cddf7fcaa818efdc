// Peer messages and the settlement of subrequests.
#include "entry/entry.h"

#include "config/deploymentfile.h"
#include "global/log.h"

namespace tarragon::entry {

namespace {

/// Maximum number of crash reports sent to a peer that requests the
/// configuration.
constexpr std::size_t MaxCrashReports = 256;

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
  Router->markReachable(From.Id);
  {
    const std::lock_guard Lock(SenderMutex);
    Senders[From.Id] = From;
  }
  std::visit(
      [this, &From](auto &&Content) { handle(From, std::move(Content)); },
      std::move(Message));
}

auto entry::handle(const instance &, peer::dispatch_message Message) -> void {
  dispatchLocally(std::move(Message.Request));
}

auto entry::handle(const instance &From, const peer::cancel_message &Message)
    -> void {
  Dispatch->cancel(Message.Id, From.Id, Message.Group);
}

auto entry::handle(const instance &, const peer::settle_message &Message)
    -> void {
  settleLocally(Message.Settlement);
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
  // The peer has just started or was disconnected, so it may have missed crash
  // reports and not know which requests are quarantined.
  std::vector<admission::crash_report> Reports;
  {
    const std::lock_guard Lock(PoisonMutex);
    Reports = Poison.reports(MaxCrashReports, now());
  }
  for (const admission::crash_report &Report : Reports)
    Peers->send(From, peer::crash_message{Report});
}

auto entry::handle(const instance &, const peer::config_offer &Message)
    -> void {
  Config->adopt(fromOffer(Message));
}

auto entry::handle(const instance &From, peer::ledger_message Message) -> void {
  log::write(log::level::Info, log::part::Once, "ticket ledger adopted",
             {{"from", From.Id},
              {"tickets", std::to_string(Message.Ledger.Answers.size())}});
  Once->adopt(std::move(Message.Ledger));
}

auto entry::handle(const instance &From, const peer::usage_message &Message)
    -> void {
  Quotas->onReport(From, Message.Report);
}

auto entry::onPeerLost(const instance &Peer) -> void {
  const auto Ids = Router->markUnreachable(Peer.Id);
  Metrics.counter("tarragon_peer_calls_lost_total", {{"peer", Peer.Id}}).add();
  if (!Ids.empty())
    log::write(log::level::Warning, log::part::Transport,
               "peer unreachable; retrying its subrequests elsewhere",
               {{"peer", Peer.Id}, {"count", std::to_string(Ids.size())}});
  for (const subrequest_id &Id : Ids) {
    settlement Lost;
    Lost.Id = Id;
    Lost.Outcome = attempt_outcome::NotSent;
    Lost.ProvenNotRun = false; // the owner may have run it
    settleLocally(Lost);
  }
}

auto entry::onSettled(const instance_id &Coordinator, settlement Settlement)
    -> void {
  if (Coordinator == Settings.Self.Id)
    return settleLocally(Settlement);
  instance To;
  {
    // The member table may not contain the sender of a dispatch yet.
    const std::lock_guard Lock(SenderMutex);
    const auto Found = Senders.find(Coordinator);
    if (Found == Senders.end())
      return;
    To = Found->second;
  }
  Peers->send(To, peer::settle_message{std::move(Settlement)});
}

auto entry::settleLocally(const settlement &Settlement) -> void {
  Router->remove(Settlement.Id);
  Queries->settle(Settlement);
}

auto entry::dispatchLocally(subrequest Request) -> void {
  auto Verdict = admission::poison_verdict::Clear;
  {
    const std::lock_guard Lock(PoisonMutex);
    Verdict = Poison.verdict(Request.Fingerprint, now());
  }
  // The owner of a group is the first to observe crashes of its targets; other
  // coordinators may not yet know that a request is a poison request.
  if (Verdict == admission::poison_verdict::Held) {
    settlement Held;
    Held.Id = Request.Id;
    Held.Outcome = attempt_outcome::NotRun;
    Held.ProvenNotRun = true;
    return onSettled(Request.Coordinator, std::move(Held));
  }
  if (Verdict == admission::poison_verdict::Suspect)
    Request.Suspect = true;
  Dispatch->submit(std::move(Request));
}

auto entry::reportCrash(const admission::crash_report &Report) -> void {
  log::write(log::level::Warning, log::part::Admission,
             "target crashed while running a request",
             {{"target", Report.Target}});
  {
    const std::lock_guard Lock(PoisonMutex);
    Poison.recordCrash(Report, now());
  }
  sendToLivePeers(peer::crash_message{Report});
}

auto entry::sendToLivePeers(const peer::peer_message &Message) -> void {
  for (const instance &Member : Members->members()) {
    const bool Other = Member.Id != Settings.Self.Id;
    if (Other && Member.State == instance_state::Live)
      Peers->send(Member, Message);
  }
}

} // namespace tarragon::entry
