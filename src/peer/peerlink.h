#pragma once

#include "global/result.h"
#include "peer/types/peermessage.h"
#include "transport/types/httpreply.h"
#include "world/types/instance.h"

#include <json/forwards.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace tarragon::transport {
class http_server;
class http_client;
} // namespace tarragon::transport

namespace tarragon::peer {

class http_connector;
class rpc_service;

/// Sends and receives one-way messages between instances. Messages that are
/// queued for a peer while its call limit is reached are batched into the next
/// call.
class peer_link {
public:
  /// Called on transport threads: handlers must hold locks only briefly.
  struct handlers {
    std::function<void(instance From, peer_message Message)> OnMessage;
    /// Called when a call failed or wasn't acknowledged in time; the peer may
    /// have received its messages.
    std::function<void(instance Peer, std::vector<peer_message> Lost)> OnLost;
  };

  peer_link(instance Self, handlers Handlers);
  ~peer_link();

  /// Listens on Self.PeerAddress; returns AddressInUse or BadSetting when that
  /// is not possible.
  auto start() -> result<void>;
  auto stop() -> void;

  /// Sends \p Message in the background; reports a failure to OnLost.
  auto send(const instance &Peer, peer_message Message) -> void;

  /// Returns the bytes of all call bodies passed to the network so far.
  auto bytesSent() const -> std::uint64_t;

private:
  struct outbox {
    instance Peer;
    std::vector<peer_message> Waiting;
    int CallsInFlight = 0;
  };

  auto post(const instance &Peer, std::vector<peer_message> Messages) -> void;
  auto onPosted(const instance &Peer, std::vector<peer_message> Messages,
                transport::call_end End) -> void;
  auto onDelivered(const Json::Value &Parameters) -> void;
  auto deliver(const Json::Value &Parameters, const instance &From) -> void;
  auto popWaiting(const instance &Peer) -> std::vector<peer_message>;

  instance Self;
  handlers Handlers;
  std::unique_ptr<http_connector> Connector;
  std::unique_ptr<rpc_service> Service;
  std::unique_ptr<transport::http_server> Server;
  mutable std::mutex Mutex; // rank 70: no other lock is acquired under it
  std::map<address, outbox> Outboxes;
  std::uint64_t Bytes = 0;
  std::unique_ptr<transport::http_client> Client;
};

} // namespace tarragon::peer
