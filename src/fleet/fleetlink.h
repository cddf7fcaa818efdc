#pragma once

#include "fleet/fleetcodec.h"
#include "fleet/types/fleetsettings.h"
#include "fleet/watchduty.h"
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

/// This instance among its peers: who is alive, and copies of shared documents
/// that pass from those that heard of a change to those that didn't.
class fleet_link {
public:
  struct handlers {
    /// The document as it is sent to a peer that has all up to \p Since.
    std::function<std::string(const std::string &Name, std::uint64_t Since)>
        Write;
    /// A peer's newer copy; false when it can't be used.
    std::function<bool(const std::string &Name, document_mark Mark,
                       const std::string &Body)>
        Adopt;
    /// The cores this instance uses for requests.
    std::function<double()> Load;
    /// Who is alive, or who serves, may have changed.
    std::function<void()> OnMembers;
    /// A peer saw a target crash under a request.
    std::function<void(const admission::crash_report &)> OnCrash;
  };

  fleet_link(boost::asio::io_context &Loop, fleet_settings Settings,
             handlers Handlers);
  ~fleet_link();

  /// False when the datagram address can't be had.
  auto start() -> bool;

  /// Own copy of \p Name is at \p Mark; peers are told at once of a change.
  auto setMark(const std::string &Name, document_mark Mark) -> void;
  auto mark(const std::string &Name) const -> document_mark;

  auto setReady(bool Ready) -> void;

  /// The source answered just now.
  auto noteSource() -> void;

  auto leave() -> void;

  /// Live peers, but for those that told they don't serve callers; without
  /// this instance.
  auto readyPeers() const -> std::vector<instance>;

  /// Live instances that are known, this one included.
  auto live() const -> std::uint32_t { return LiveMembers; }

  /// The instances to name to callers; this one too if it is ready.
  auto serving() const -> std::vector<instance>;

  auto mustWatch() const -> bool;

  /// Tells those that serve callers of a crash seen here.
  auto tellCrash(const admission::crash_report &Report) -> void;

  /// Answers a peer that asks for a document.
  auto onRequest(const std::shared_ptr<gateway::caller_session> &Session,
                 const gateway::caller_request &Request) -> void;

private:
  using endpoint = boost::asio::ip::udp::endpoint;

  auto send(const std::vector<membership::outgoing_gossip> &Messages) -> void;
  auto sendTo(const endpoint &To, const membership::gossip_message &Message,
              std::vector<admission::crash_report> Crashes = {}) -> void;
  auto receive() -> void;
  auto onDatagram(std::string_view Text) -> void;
  auto arrangeWake() -> void;
  auto greetSeeds() -> void;
  /// Tells at most \p Most peers, none that is known to have all of it.
  auto tellNews(std::size_t Most) -> void;
  auto news() const -> membership::gossip_message;
  auto knowsAll(const instance_id &Peer) const -> bool;
  auto measureLoad() -> void;
  auto compareDocuments(const instance &From, const fleet_digest &Digest)
      -> void;
  auto compareMembers(const instance &From, const fleet_digest &Digest) -> void;
  auto fetch(const std::string &Name, const instance &From) -> void;
  auto fetchMembers(const instance &From) -> void;
  /// Asks \p From for \p Name; \p OnAnswer gets nothing else than success.
  auto ask(const instance &From, const std::string &Name, std::uint64_t Since,
           std::function<void(const gateway::exchange_answer &)> OnAnswer)
      -> void;
  /// Peers have had news for long that this instance couldn't get from them.
  auto isBehind() const -> bool;
  auto ownDigest() const -> fleet_digest;
  auto membersText() const -> std::string;
  auto writeDocument(const std::string &Name, std::uint64_t Since,
                     gateway::caller_answer &Answer) const -> void;
  auto membersChanged() -> void;

  boost::asio::io_context &Loop;
  fleet_settings Settings;
  handlers Handlers;
  membership::member_table Table;
  watch_duty Duty;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer WakeTimer;
  boost::asio::steady_timer GreetTimer;
  boost::asio::steady_timer LoadTimer;
  std::array<char, 65536> Buffer;
  endpoint Sender;
  std::map<instance_id, fleet_digest> Digests; ///< as peers told
  std::map<std::string, document_mark> Marks;
  std::map<std::string, time_point> BehindSince; ///< peers had news
  std::map<std::string, std::shared_ptr<gateway::http_connection>> Fetches;
  std::uint64_t KnownRevision = 0;
  std::uint32_t LiveMembers = 1;
  time_point MembersAskedAt;
  bool Adopting = false; ///< news comes from a peer
  bool Ready = false;
  std::set<endpoint> ToldNotReady; ///< since this instance last was ready
  double Load = 0;
  time_point StartedAt;
  time_point SourceHeardAt;
  std::set<std::string> FetchWhole; ///< what changes alone didn't do for
  std::mt19937_64 Random;
};

} // namespace tarragon::fleet
