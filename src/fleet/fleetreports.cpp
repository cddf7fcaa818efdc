// Reports to the instances that serve callers.
#include "fleet/fleetlink.h"

#include "fleet/internal/hostport.h"

#include <set>

namespace tarragon::fleet {

using internal::endpointOf;
using internal::splitAddress;

namespace {

/// The sender's membership and status are three quarters of a report of usage,
/// and probes carry them, too.
constexpr milliseconds StatusPeriod{1000};

} // namespace

auto fleet_link::sendCrashReport(const admission::crash_report &Report)
    -> void {
  sendToServing({makeAnnouncement(), ownStatus(), {Report}, {}});
}

auto fleet_link::sendLeaving(const leaving_target &Target) -> void {
  sendToServing({makeAnnouncement(), ownStatus(), {}, {Target}});
}

auto fleet_link::sendUsage(const account::usage_report &Report,
                           const std::vector<address> &Others) -> void {
  std::set<address> Receivers(Others.begin(), Others.end());
  for (const instance &Member : serving())
    Receivers.insert(Member.PeerAddress);
  Receivers.erase(Settings.Self.PeerAddress);
  for (const address &Receiver : Receivers)
    sendUsageTo(Receiver, Report);
}

auto fleet_link::relayUsage(const account::relayed_report &Relayed) -> void {
  sendUsageTo(Relayed.To, Relayed.Report);
}

auto fleet_link::sendUsageTo(const address &Receiver,
                             const account::usage_report &Usage) -> void {
  const time_point Now = std::chrono::steady_clock::now();
  fleet_datagram Datagram{makeAnnouncement(), ownStatus(), {}, {}, Usage};
  const auto SentAt = StatusSentAt.find(Receiver);
  Datagram.IsBrief = BriefReaders.contains(Receiver) &&
                     SentAt != StatusSentAt.end() &&
                     Now - SentAt->second < StatusPeriod;
  if (!Datagram.IsBrief)
    StatusSentAt[Receiver] = Now;
  sendDatagram(endpointOf<boost::asio::ip::udp>(splitAddress(Receiver)),
               Datagram);
}

auto fleet_link::sendToServing(const fleet_datagram &Datagram) -> void {
  for (const instance &Member : serving())
    if (Member.Id != Settings.Self.Id)
      sendDatagram(
          endpointOf<boost::asio::ip::udp>(splitAddress(Member.PeerAddress)),
          Datagram);
}

} // namespace tarragon::fleet
