#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace tarragon::gateway::internal {

/// Sets the options of all connections: TCP_NODELAY, and TCP_USER_TIMEOUT to
/// close a connection whose peer acknowledges nothing. Errors are ignored here:
/// later calls on the socket report them.
auto setOptions(boost::asio::ip::tcp::socket &Socket) -> void;

} // namespace tarragon::gateway::internal
