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

  /// Return the events to poll for on the client's and the server's socket.
  auto clientPoll(const proxy_faults &Faults, time_point Now) const -> pollfd;
  auto serverPoll(time_point Now) const -> pollfd;

  /// Reads and writes as far as the sockets allow; bytes read are delayed by
  /// \p Delay. Returns false when the connection has ended.
  auto advance(const pollfd &Client, const pollfd &Server,
               const proxy_faults &Faults, time_point Now, milliseconds Delay)
      -> bool;

  /// Returns when the next delayed bytes are due.
  auto nextDue(const proxy_faults &Faults) const -> time_point;

private:
  auto forwardReplies(const proxy_faults &Faults, time_point Now) -> bool;

  socket_handle Client;
  socket_handle Server;
  flow Requests;
  flow Replies;
  std::size_t ReplyBytes = 0; ///< sent since Generation
  std::uint64_t Generation = 0;
};

} // namespace tarragon::standins
