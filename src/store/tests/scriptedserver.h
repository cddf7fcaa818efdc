#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tarragon::store {

/// Listens on loopback, sends the next scripted reply, byte for byte, to the
/// first request of each connection, then closes the connection. An empty reply
/// closes it without sending anything.
class scripted_server {
public:
  explicit scripted_server(std::vector<std::string> Replies);
  ~scripted_server();
  scripted_server(const scripted_server &) = delete;
  auto operator=(const scripted_server &) -> scripted_server & = delete;

  /// Returns "127.0.0.1:port".
  auto address() const -> std::string;

  /// Returns the complete requests received so far, including their heads.
  auto requests() const -> std::vector<std::string>;

private:
  auto serve() -> void;
  auto respond(int Connection, const std::string &Reply) -> void;

  std::vector<std::string> Replies;
  int Listener = -1;
  std::uint16_t Port = 0;
  mutable std::mutex Lock;
  std::vector<std::string> Requests;
  std::thread Thread;
};

/// Formats a complete HTTP response.
auto httpReply(int Status, const std::string &Body) -> std::string;

} // namespace tarragon::store
