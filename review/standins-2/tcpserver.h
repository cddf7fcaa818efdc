#pragma once

#include "bytestream.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Accepts connections and serves each on a thread of its own.
class tcp_server {
public:
  using stream_pointer = std::shared_ptr<byte_stream>;
  using handler = std::function<void(byte_stream &)>;

  explicit tcp_server(handler Handler) : Handler(std::move(Handler)) {}
  tcp_server(const tcp_server &) = delete;
  auto operator=(const tcp_server &) -> tcp_server & = delete;
  ~tcp_server() { stop(); }

  /// Listens on \p Ip, on a free port or on the one of an earlier call.
  auto start(const std::string &Ip) -> bool {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Address = socketAddress(Ip, Port);
    socklen_t Size = sizeof Address;
    auto *const Generic = reinterpret_cast<sockaddr *>(&Address);
    if (::bind(Listener, Generic, Size) != 0 || ::listen(Listener, 256) != 0 ||
        ::getsockname(Listener, Generic, &Size) != 0)
      return false;
    Port = ntohs(Address.sin_port);
    Running = true;
    Accepts = true;
    Acceptor = std::thread([this] { accept(); });
    return true;
  }

  /// Refuses further connections.
  auto closePort() -> void {
    if (Accepts.exchange(false))
      ::shutdown(Listener, SHUT_RDWR);
  }

  /// Closes the port and all connections, as the end of the process does.
  auto stop() -> void {
    if (!Running.exchange(false))
      return;
    closePort();
    Acceptor.join();
    ::close(Listener);
    std::vector<std::thread> Ended;
    {
      const std::lock_guard Lock(Mutex);
      for (const stream_pointer &Stream : Streams)
        ::shutdown(Stream->descriptor(), SHUT_RDWR);
      Ended.swap(Threads);
      Streams.clear();
    }
    for (std::thread &Thread : Ended)
      Thread.join();
  }

  auto isRunning() const -> bool { return Running; }
  auto port() const -> int { return Port; }

private:
  auto accept() -> void {
    while (Accepts) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      const std::lock_guard Lock(Mutex);
      Streams.push_back(std::make_shared<byte_stream>(Socket));
      Threads.emplace_back([this, Stream = Streams.back()] { serve(*Stream); });
    }
  }

  auto serve(byte_stream &Stream) -> void {
    Handler(Stream);
    // The descriptor is closed with the last reference, so that stop() can't
    // touch a later connection with the same number.
    ::shutdown(Stream.descriptor(), SHUT_RDWR);
  }

  handler Handler;
  int Listener = -1;
  int Port = 0;
  std::atomic<bool> Running{false};
  std::atomic<bool> Accepts{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::vector<stream_pointer> Streams;
  std::vector<std::thread> Threads;
};

} // namespace review
