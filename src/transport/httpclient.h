#pragma once

#include "transport/types/httpcall.h"
#include "transport/types/httpreply.h"

#include <functional>
#include <memory>

namespace tarragon::transport {

/// Settings of an http_client.
struct http_client_settings {
  /// Maximum number of open connections per address; 0 means no limit.
  long MaxConnectionsPerAddress = 0;
};

/// HTTP client that runs many calls concurrently on one thread of its own. A
/// connection whose exchange ended early is closed, never reused.
class http_client {
public:
  /// Called on the client's thread; must not block.
  using completion = std::function<void(http_reply)>;

  explicit http_client(http_client_settings Settings);
  ~http_client();

  /// Starts \p Call; may be called from any thread. \p Done is called exactly
  /// once, unless the client is destroyed first.
  auto start(http_call Call, completion Done) -> void;

  /// Sets the maximum number of connections per address, for connections opened
  /// from now on. May be called from any thread.
  auto setMaxConnections(long PerAddress) -> void;

  /// Returns the number of connections opened so far.
  auto connectionsOpened() const -> std::uint64_t;

private:
  class worker;
  std::unique_ptr<worker> Worker;
};

} // namespace tarragon::transport
