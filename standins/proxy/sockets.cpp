#include "standins/proxy/sockets.h"

#include <cstdlib>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tarragon::standins {

namespace {

constexpr int Backlog = 1024;

auto parse(const address &Address) -> sockaddr_in {
  sockaddr_in Parsed{};
  const auto Colon = Address.rfind(':');
  Parsed.sin_family = AF_INET;
  Parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Parsed.sin_addr);
  return Parsed;
}

auto openSocket() -> socket_handle {
  return socket_handle(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

auto setOption(const socket_handle &Socket, const int Level, const int Option)
    -> void {
  const int On = 1;
  ::setsockopt(Socket.get(), Level, Option, &On, sizeof On);
}

} // namespace

socket_handle::socket_handle(socket_handle &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)) {}

auto socket_handle::operator=(socket_handle &&Other) noexcept
    -> socket_handle & {
  close();
  Descriptor = std::exchange(Other.Descriptor, -1);
  return *this;
}

socket_handle::~socket_handle() { close(); }

auto socket_handle::close() -> void {
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

auto openListener(const address &Address) -> socket_handle {
  socket_handle Socket = openSocket();
  setOption(Socket, SOL_SOCKET, SO_REUSEADDR);
  const sockaddr_in Parsed = parse(Address);
  if (::bind(Socket.get(), reinterpret_cast<const sockaddr *>(&Parsed),
             sizeof Parsed) != 0 ||
      ::listen(Socket.get(), Backlog) != 0)
    Socket.close();
  return Socket;
}

auto beginConnect(const address &Address) -> socket_handle {
  socket_handle Socket = openSocket();
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY);
  const sockaddr_in Parsed = parse(Address);
  // A refused connection is reported by the first poll() of the socket.
  ::connect(Socket.get(), reinterpret_cast<const sockaddr *>(&Parsed),
            sizeof Parsed);
  return Socket;
}

auto acceptFrom(const socket_handle &Listener) -> socket_handle {
  socket_handle Socket(::accept4(Listener.get(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.isOpen())
    setOption(Socket, IPPROTO_TCP, TCP_NODELAY);
  return Socket;
}

} // namespace tarragon::standins
