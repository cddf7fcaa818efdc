#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace tarragon::gateway::internal {

/// Sets what every connection needs: no delay of small writes, and an end
/// when the other side acknowledges nothing. Errors are left to later calls.
auto setOptions(boost::asio::ip::tcp::socket &Socket) -> void;

} // namespace tarragon::gateway::internal
