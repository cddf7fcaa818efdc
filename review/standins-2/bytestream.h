#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

namespace review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Returns the address of \p Ip and \p Port.
inline auto socketAddress(const std::string &Ip, const int Port)
    -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// One end of a TCP connection, with blocking calls that have time limits.
class byte_stream {
public:
  explicit byte_stream(const int Descriptor) : Descriptor(Descriptor) {
    const int On = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  byte_stream(const byte_stream &) = delete;
  auto operator=(const byte_stream &) -> byte_stream & = delete;
  ~byte_stream() { close(); }

  /// Returns a connection to \p Ip and \p Port, or -1.
  static auto connectTo(const std::string &Ip, const int Port) -> int {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in Address = socketAddress(Ip, Port);
    if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof Address) == 0)
      return Socket;
    ::close(Socket);
    return -1;
  }

  auto isOpen() const -> bool { return Descriptor >= 0; }
  auto descriptor() const -> int { return Descriptor; }

  auto close() -> void {
    if (Descriptor >= 0)
      ::close(Descriptor);
    Descriptor = -1;
  }

  /// Closes with a reset, as a process that ends with unread input does.
  auto reset() -> void {
    const linger Immediately{1, 0};
    if (Descriptor >= 0)
      setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Immediately,
                 sizeof Immediately);
    close();
  }

  auto write(const std::string &Bytes) -> bool {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const auto Count = ::send(Descriptor, Bytes.data() + Done,
                                Bytes.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Receives further bytes; returns false at the end or after \p Limit.
  auto receive(const milliseconds Limit) -> bool {
    pollfd Poll{Descriptor, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(Limit.count())) <= 0)
      return false;
    char Buffer[16384];
    const auto Count = ::recv(Descriptor, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      return false;
    Received.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }

  /// Returns the bytes up to and including \p End.
  auto readUntil(const std::string &End, const milliseconds Limit)
      -> std::optional<std::string> {
    const auto Deadline = steady::now() + Limit;
    while (Received.find(End) == std::string::npos)
      if (!receiveUntil(Deadline))
        return std::nullopt;
    return take(Received.find(End) + End.size());
  }

  auto readExactly(const std::size_t Count, const milliseconds Limit)
      -> std::optional<std::string> {
    const auto Deadline = steady::now() + Limit;
    while (Received.size() < Count)
      if (!receiveUntil(Deadline))
        return std::nullopt;
    return take(Count);
  }

  /// Returns what was received and not read yet.
  auto unread() const -> const std::string & { return Received; }

private:
  auto receiveUntil(const steady::time_point Deadline) -> bool {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Deadline - steady::now());
    return Left.count() > 0 && receive(Left);
  }

  auto take(const std::size_t Count) -> std::string {
    std::string Taken = Received.substr(0, Count);
    Received.erase(0, Count);
    return Taken;
  }

  int Descriptor;
  std::string Received;
};

} // namespace review
