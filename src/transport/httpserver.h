#pragma once

#include "global/result.h"
#include "transport/httpresponder.h"
#include "transport/types/httprequest.h"
#include "world/types/ids.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace tarragon::transport {

struct http_server_settings {
  address Listen;
  int Threads = 2;
  std::size_t MostBytes = 1048576; ///< of a request, headers included
};

/// An HTTP server on one address.
class http_server {
public:
  using handler = std::function<void(http_request, http_responder)>;

  explicit http_server(http_server_settings Settings);
  ~http_server();

  /// Starts serving; BadSetting for a bad address, AddressInUse for a taken
  /// one.
  auto start(handler Handler) -> result<void>;
  auto stop() -> void;

private:
  class endpoint;
  http_server_settings Settings;
  std::unique_ptr<endpoint> Endpoint;
};

/// Host and port of \p Address; BadSetting when it is no "IP:port".
struct host_port {
  std::string Host;
  std::uint16_t Port = 0;
};
auto splitAddress(const address &Address) -> result<host_port>;

} // namespace tarragon::transport
