#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tarragon::store {

/// Listens on loopback and answers each connection's first request with the
/// next of its replies, byte for byte, then closes it. An empty reply closes
/// the connection without an answer.
class scripted_server {
public:
  explicit scripted_server(std::vector<std::string> Replies);
  ~scripted_server();
  scripted_server(const scripted_server &) = delete;
  auto operator=(const scripted_server &) -> scripted_server & = delete;

  /// "127.0.0.1:port".
  auto address() const -> std::string;

  /// The requests read so far, whole.
  auto requests() const -> std::vector<std::string>;

private:
  auto serve() -> void;
  auto answer(int Connection, const std::string &Reply) -> void;

  std::vector<std::string> Replies;
  int Listener = -1;
  std::uint16_t Port = 0;
  mutable std::mutex Lock;
  std::vector<std::string> Requests;
  std::thread Thread;
};

/// A whole HTTP reply.
auto httpReply(int Status, const std::string &Body) -> std::string;

} // namespace tarragon::store
