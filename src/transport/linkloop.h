#pragma once

#include "transport/types/httpcall.h"
#include "transport/types/httpreply.h"

#include <functional>
#include <memory>

namespace tarragon::transport {

struct link_loop_settings {
  /// Connections kept or open to one address at once; 0 is no limit.
  long ConnectionsPerAddress = 0;
};

/// Makes many HTTP calls at once on one thread. A connection whose exchange
/// ended early is closed, never used again.
class link_loop {
public:
  /// Runs on the loop's thread: it must not block.
  using completion = std::function<void(http_reply)>;

  explicit link_loop(link_loop_settings Settings);
  ~link_loop();

  /// Starts \p Call from any thread; \p Done comes exactly once, unless the
  /// loop is destroyed first.
  auto start(http_call Call, completion Done) -> void;

  /// Changes the limit for connections opened from now on.
  auto limitConnections(long PerAddress) -> void;

  /// Connections opened so far.
  auto connectionsOpened() const -> std::uint64_t;

private:
  class worker;
  std::unique_ptr<worker> Worker;
};

} // namespace tarragon::transport
