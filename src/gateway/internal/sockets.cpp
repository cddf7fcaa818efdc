#include "gateway/internal/sockets.h"

#include "global/types/time.h"

#include <netinet/tcp.h>

namespace tarragon::gateway::internal {

namespace {

constexpr milliseconds UserTimeout{6000};

} // namespace

auto setOptions(boost::asio::ip::tcp::socket &Socket) -> void {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>(
          static_cast<int>(UserTimeout.count())),
      Ignored);
}

} // namespace tarragon::gateway::internal
