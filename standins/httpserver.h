#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tarragon::standins {

class connection_table;

/// One request as received.
struct http_request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Parameters;
  std::string Body;
  std::string AttemptHeader;    ///< X-Tarragon-Attempt
  std::string DeadlineHeader;   ///< X-Tarragon-Deadline-Ms
  std::uint64_t Connection = 0; ///< unique in this process
  bool FirstOfConnection = false;
};

/// Answers one request once, from any thread. Dropped, it never answers.
class http_reply {
public:
  class state;

  explicit http_reply(std::shared_ptr<state> State);

  /// Sends the answer; \p Attempt, when not empty, goes into
  /// X-Tarragon-Attempt.
  auto send(int Status, const std::string &Body,
            const std::string &Attempt = {}) const -> void;

  /// Sends the headers of \p Body, half of it, and closes the connection.
  auto sendCut(int Status, const std::string &Body,
               const std::string &Attempt = {}) const -> void;

  /// Closes the connection without an answer.
  auto close() const -> void;

private:
  std::shared_ptr<state> State;
};

/// What a server has seen of connections.
struct connection_counts {
  std::size_t Open = 0;
  std::size_t Peak = 0;
  std::size_t Opened = 0;
  std::size_t Refused = 0;
};

/// An HTTP server that may break its connections on purpose.
class http_server {
public:
  using handler = std::function<void(const http_request &, http_reply)>;

  /// \p MostConnections are held at once, 0 for any; more are closed at once.
  http_server(address Listen, int Threads, std::size_t MostConnections);
  ~http_server();

  /// Serves until the process ends. False when the address can't be had.
  auto start(handler Handler) -> bool;
  auto connections() const -> connection_counts;

private:
  class endpoint;
  address Listen;
  int Threads;
  std::shared_ptr<connection_table> Connections;
  std::unique_ptr<endpoint> Endpoint;
};

} // namespace tarragon::standins
