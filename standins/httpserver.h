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

/// A request as received.
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

/// Sends the response to one request, once, from any thread. No response is
/// sent if the object is destroyed unused.
class http_reply {
public:
  class state;

  explicit http_reply(std::shared_ptr<state> State);

  /// Sends a complete response, with \p Attempt, unless empty, in the
  /// X-Tarragon-Attempt header.
  auto send(int Status, const std::string &Body,
            const std::string &Attempt = {}) const -> void;

  /// Sends the headers for \p Body and the first half of it, then closes the
  /// connection.
  auto sendCut(int Status, const std::string &Body,
               const std::string &Attempt = {}) const -> void;

  /// Closes the connection without a response.
  auto close() const -> void;

private:
  std::shared_ptr<state> State;
};

/// Connection statistics of a server.
struct connection_counts {
  std::size_t Open = 0;
  std::size_t Peak = 0;
  std::size_t Opened = 0;
  std::size_t Refused = 0;
};

/// An HTTP server whose handlers can truncate responses and close
/// connections on purpose.
class http_server {
public:
  using handler = std::function<void(const http_request &, http_reply)>;

  /// At most \p MaxConnections are open at a time (0 sets no limit); further
  /// ones are closed as soon as they are accepted.
  http_server(address Listen, int Threads, std::size_t MaxConnections);
  ~http_server();

  /// Starts to serve on threads of its own until the process ends. Returns
  /// false if it cannot listen on the address.
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
