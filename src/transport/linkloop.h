#pragma once

#include "transport/types/httpcall.h"
#include "transport/types/httpreply.h"

#include <functional>
#include <memory>

namespace tarragon::transport {

/// Settings of a link_loop.
struct link_loop_settings {
  /// Maximum number of open connections per address; 0 means no limit.
  long MaxConnectionsPerAddress = 0;
};

/// HTTP client that runs many calls concurrently on one thread of its own. A
/// connection whose exchange ended early is closed, never reused.
class link_loop {
public:
  /// Called on the loop's thread; must not block.
  using completion = std::function<void(http_reply)>;

  explicit link_loop(link_loop_settings Settings);
  ~link_loop();

  /// Starts \p Call; may be called from any thread. \p Done is called exactly
  /// once, unless the loop is destroyed first.
  auto start(http_call Call, completion Done) -> void;

  /// Sets the maximum number of connections per address, for connections opened
  /// from now on. May be called from any thread.
  auto limitConnections(long PerAddress) -> void;

  /// Returns the number of connections opened so far.
  auto connectionsOpened() const -> std::uint64_t;

private:
  class worker;
  std::unique_ptr<worker> Worker;
};

} // namespace tarragon::transport
