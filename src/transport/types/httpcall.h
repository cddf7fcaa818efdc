#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::transport {

/// An HTTP request to another process, with its connection options.
struct http_call {
  std::string Method = "POST";
  address To;
  std::string Path;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;
  milliseconds Timeout{1000};
  bool FreshConnection = false; ///< neither reuses a connection nor keeps it
  /// Never sends the request again: the call fails if a reused connection turns
  /// out to be closed.
  bool NeverResend = false;
  std::string ExpectedEcho; ///< value of EchoHeader the reply must repeat
};

/// Header in which a reply repeats the id of the attempt that it answers.
inline constexpr char EchoHeader[] = "X-Tarragon-Attempt";

} // namespace tarragon::transport
