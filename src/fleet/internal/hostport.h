#pragma once

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <string>

namespace tarragon::fleet::internal {

/// The two parts of "IP:PORT".
struct host_port {
  std::string Host;
  std::uint16_t Port = 0;
};

/// Splits "IP:PORT"; the port is 0 when it is missing or malformed.
auto splitAddress(const std::string &Address) -> host_port;

template <class Protocol>
auto endpointOf(const host_port &Split) -> typename Protocol::endpoint {
  boost::system::error_code Error;
  return {boost::asio::ip::make_address(Split.Host, Error), Split.Port};
}

} // namespace tarragon::fleet::internal
