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
class link_loop;
} // namespace tarragon::transport

namespace tarragon::peer {

class http_connector;
class rpc_service;

/// One-way messages between instances. Those that wait for a peer while calls
/// to it are under way travel together in the next call.
class peer_link {
public:
  /// Run on transport threads: they take locks for short steps only.
  struct handlers {
    std::function<void(instance From, peer_message Message)> OnMessage;
    /// The peer didn't take these in time; they may have arrived.
    std::function<void(instance Peer, std::vector<peer_message> Lost)> OnLost;
  };

  peer_link(instance Self, handlers Handlers);
  ~peer_link();

  /// AddressInUse or BadSetting when Self.PeerAddress can't be served.
  auto start() -> result<void>;
  auto stop() -> void;

  auto send(const instance &Peer, peer_message Message) -> void;

  /// Bytes handed to the network so far, bodies only.
  auto bytesSent() const -> std::uint64_t;

private:
  struct outbox {
    instance Peer;
    std::vector<peer_message> Waiting;
    int CallsUnderWay = 0;
  };

  auto post(const instance &Peer, std::vector<peer_message> Messages) -> void;
  auto onPosted(const instance &Peer, std::vector<peer_message> Messages,
                transport::call_end End) -> void;
  auto onDelivered(const Json::Value &Parameters) -> void;
  auto deliver(const Json::Value &Parameters, const instance &From) -> void;
  auto takeWaiting(const instance &Peer) -> std::vector<peer_message>;

  instance Self;
  handlers Handlers;
  std::unique_ptr<http_connector> Connector;
  std::unique_ptr<rpc_service> Service;
  std::unique_ptr<transport::http_server> Server;
  mutable std::mutex Mutex; // rank 70: nothing else is locked under it
  std::map<address, outbox> Outboxes;
  std::uint64_t Bytes = 0;
  std::unique_ptr<transport::link_loop> Loop;
};

} // namespace tarragon::peer
