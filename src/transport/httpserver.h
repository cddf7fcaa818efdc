#pragma once

#include "global/result.h"
#include "transport/httpresponder.h"
#include "transport/types/httprequest.h"
#include "world/types/ids.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::transport {

/// Settings of an http_server.
struct http_server_settings {
  address Listen; ///< "IP:port"
  int Threads = 2;
  std::size_t MaxRequestBytes = 1048576;      ///< bytes, headers included
  std::vector<std::string> RecordedHeaders{}; ///< names; see http_request
};

/// An HTTP server on one address, with its own threads, for handlers that may
/// run concurrently; gateway::http_server runs on an event loop of its user.
/// Used by tarragond.
class http_server {
public:
  /// Runs on a thread of the server, concurrently for several requests.
  using handler = std::function<void(http_request, http_responder)>;

  explicit http_server(http_server_settings Settings);
  ~http_server();

  /// Starts serving. Returns BadSetting for a malformed address, AddressInUse
  /// if the server can't be started on it.
  auto start(handler Handler) -> result<void>;
  /// Stops serving and joins the threads.
  auto stop() -> void;

private:
  class endpoint;
  http_server_settings Settings;
  std::unique_ptr<endpoint> Endpoint;
};

/// Host and port of an address.
struct host_port {
  std::string Host;
  std::uint16_t Port = 0;
};

/// Splits "IP:port" into host and port; returns BadSetting if \p Address is
/// malformed.
auto splitAddress(const address &Address) -> result<host_port>;

} // namespace tarragon::transport
