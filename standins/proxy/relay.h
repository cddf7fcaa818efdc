#pragma once

#include "standins/proxy/flow.h"
#include "standins/proxy/proxyfaults.h"
#include "standins/proxy/sockets.h"

#include <poll.h>

namespace tarragon::standins {

/// One connection through the proxy.
class relay {
public:
  relay(socket_handle Client, socket_handle Server);

  /// What to wait for: the client's socket, then the server's.
  auto clientPoll(const proxy_faults &Faults, time_point Now) const -> pollfd;
  auto serverPoll(time_point Now) const -> pollfd;

  /// Moves what can be moved. False when the connection has ended.
  auto advance(const pollfd &Client, const pollfd &Server,
               const proxy_faults &Faults, time_point Now, milliseconds Delay)
      -> bool;

  /// When bytes that wait for their delay are due next.
  auto nextDue(const proxy_faults &Faults) const -> time_point;

private:
  auto passReplies(const proxy_faults &Faults, time_point Now) -> bool;

  socket_handle Client;
  socket_handle Server;
  flow Requests;
  flow Replies;
  std::size_t ReplyBytes = 0; ///< passed on since Generation
  std::uint64_t Generation = 0;
};

} // namespace tarragon::standins
