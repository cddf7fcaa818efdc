#pragma once

#include "account/types/relayedreport.h"
#include "fleet/fleetcodec.h"
#include "fleet/types/fleetsettings.h"
#include "fleet/watcherselection.h"
#include "gateway/types/callerrequest.h"
#include "membership/membertable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace tarragon::gateway {
struct exchange_answer;
class caller_session;
class http_connection;
} // namespace tarragon::gateway

namespace tarragon::fleet {

/// Connects this instance to its peers: keeps the member table by gossip and
/// distributes shared documents between the instances, so that a change reaches
/// instances that don't watch its source.
class fleet_link {
public:
  struct handlers {
    /// Returns the document body for a peer that has every change up to
    /// \p Since.
    std::function<std::string(const std::string &Name, std::uint64_t Since)>
        Write;
    /// Adopts a peer's newer copy; returns false when it is not usable.
    std::function<bool(const std::string &Name, document_mark Mark,
                       const std::string &Body)>
        Adopt;
    /// Returns the number of cores this instance uses for requests.
    std::function<double()> Load;
    /// Called when the live or the serving instances may have changed.
    std::function<void()> OnMembers;
    /// Called when a peer reports a target that crashed while running a
    /// request.
    std::function<void(const admission::crash_report &)> OnCrash;
    /// Called when a peer reports a target that said that it leaves.
    std::function<void(const leaving_target &)> OnLeaving;
    /// Called when a peer reports the usage of accounts. May be empty, like the
    /// next one.
    std::function<void(const instance &From, const account::usage_report &)>
        OnUsage;
    /// Called when a peer has announced that it leaves; may be repeated.
    std::function<void(const instance &)> OnPeerLeft;
  };

  fleet_link(boost::asio::io_context &Loop, fleet_settings Settings,
             handlers Handlers);
  ~fleet_link();

  /// Returns false when the datagram socket can't be bound.
  auto start() -> bool;

  /// Records that this instance's copy of \p Name is at \p Mark; announces a
  /// newer change to peers at once.
  auto setMark(const std::string &Name, document_mark Mark) -> void;
  /// Returns the mark of this instance's copy of \p Name, zero without a copy.
  auto mark(const std::string &Name) const -> document_mark;

  /// Sets whether this instance serves callers; when it becomes ready,
  /// announces this to peers that last received the opposite.
  auto setReady(bool Ready) -> void;

  /// Records that the source answered now.
  auto recordSourceAnswer() -> void;

  /// Records that a call to the source failed; may request help from peers.
  auto recordSourceFailure() -> void;

  /// Returns the time since the source last answered any instance, as far as
  /// this one knows.
  auto sourceAnswerAge() const -> milliseconds;

  /// Announces that this instance leaves.
  auto leave() -> void;

  /// Returns the live peers except those that reported that they don't serve
  /// callers; excludes this instance.
  auto readyPeers() const -> std::vector<instance>;

  /// Returns all known instances, this one included.
  auto members() const -> std::vector<instance> { return Table.members(); }

  /// Returns the number of live instances, this one included.
  auto live() const -> std::uint32_t { return LiveMembers; }

  /// Returns the instances that callers should use; may include this one if
  /// it is ready.
  auto serving() const -> std::vector<instance>;

  /// Returns whether this instance has to watch the source of the documents.
  auto mustWatch() -> bool;

  /// Sends a crash observed here to the instances that serve callers.
  auto sendCrashReport(const admission::crash_report &Report) -> void;

  /// Sends to the instances that serve callers that \p Target leaves.
  auto sendLeaving(const leaving_target &Target) -> void;

  /// Sends \p Report to the instances that serve callers and to \p Others.
  auto sendUsage(const account::usage_report &Report,
                 const std::vector<address> &Others) -> void;

  /// Sends the report of another instance to one that it doesn't reach.
  auto relayUsage(const account::relayed_report &Relayed) -> void;

  /// Answers a document request of a peer.
  auto onRequest(const std::shared_ptr<gateway::caller_session> &Session,
                 const gateway::caller_request &Request) -> void;

private:
  using endpoint = boost::asio::ip::udp::endpoint;

  auto send(const std::vector<membership::outgoing_gossip> &Messages) -> void;
  auto sendTo(const endpoint &To, const membership::gossip_message &Message,
              bool NeedsHelp = false) -> void;
  auto sendDatagram(const endpoint &To, const fleet_datagram &Datagram) -> void;
  /// Sends \p Usage to \p Receiver; what else a datagram has only at times.
  auto sendUsageTo(const address &Receiver, const account::usage_report &Usage)
      -> void;
  /// Sends \p Datagram to the other instances that serve callers.
  auto sendToServing(const fleet_datagram &Datagram) -> void;
  auto receive() -> void;
  auto onDatagram(std::string_view Text) -> void;
  auto scheduleWake() -> void;
  auto sendJoins() -> void;
  /// Sends the status to at most \p MaxPeers random peers, excluding those
  /// whose status has every change already.
  auto announceChanges(std::size_t MaxPeers) -> void;
  /// Returns a message without a probe, to carry the status.
  auto makeAnnouncement() const -> membership::gossip_message;
  /// Returns the live peers; excludes this instance.
  auto livePeers() const -> std::vector<instance>;
  /// Returns whether the latest status of \p Peer has every change of this
  /// instance.
  auto hasAllChanges(const instance_id &Peer) const -> bool;
  auto measureLoad() -> void;
  /// Logs when the source falls silent for all instances and when it answers
  /// one again.
  auto reportSource() -> void;
  auto compareDocuments(const instance &From, const instance_status &Status)
      -> void;
  auto compareMembers(const instance &From, const instance_status &Status)
      -> void;
  auto fetch(const std::string &Name, const instance &From) -> void;
  auto fetchMembers(const instance &From) -> void;
  /// Requests \p Name from \p From; calls \p OnAnswer on success only.
  auto requestDocument(
      const instance &From, const std::string &Name, std::uint64_t Since,
      std::function<void(const gateway::exchange_answer &)> OnAnswer) -> void;
  /// Returns whether, for MaxStaleTime, this instance failed to fetch a change
  /// that peers have.
  auto hasStaleDocuments() const -> bool;
  auto ownStatus() const -> instance_status;
  auto membersText() const -> std::string;
  auto writeDocument(const std::string &Name, std::uint64_t Since,
                     gateway::caller_answer &Answer) const -> void;
  auto membersChanged() -> void;

  boost::asio::io_context &Loop;
  fleet_settings Settings;
  handlers Handlers;
  membership::member_table Table;
  watcher_selection Selection;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer WakeTimer;
  boost::asio::steady_timer JoinTimer;
  boost::asio::steady_timer LoadTimer;
  std::array<char, 65536> Buffer;
  endpoint Sender;
  std::map<instance_id, instance_status> Statuses; ///< latest of each peer
  std::map<std::string, document_mark> Marks;
  std::map<std::string, time_point> StaleSince; ///< peers have newer ones
  std::map<std::string, std::shared_ptr<gateway::http_connection>> Fetches;
  std::uint64_t KnownRevision = 0;
  std::uint32_t LiveMembers = 1;
  time_point LastMemberSync;
  bool Adopting = false; ///< within Handlers.Adopt
  bool Ready = false;
  std::set<endpoint> NotReadyRecipients; ///< of statuses with Ready false
  std::set<address> BriefReaders;        ///< peers that read brief datagrams
  std::map<address, time_point> StatusSentAt; ///< with usage, by receiver
  double Load = 0;
  bool SourceStale = false;
  time_point StartedAt;
  /// Documents to fetch whole, since a change set was not usable.
  std::set<std::string> FullFetches;
  std::mt19937_64 Random;
};

} // namespace tarragon::fleet
