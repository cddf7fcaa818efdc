#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::transport {

/// One request of ours to another process.
struct http_call {
  std::string Method = "POST";
  address To;
  std::string Path;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;
  milliseconds Timeout{1000};
  bool FreshConnection = false; ///< neither takes nor leaves a kept connection
  bool NeverResend = false;     ///< a dead kept connection is an error
  std::string ExpectedEcho;     ///< value of EchoHeader the reply must repeat
};

/// The header by which a reply names the attempt it answers.
inline constexpr char EchoHeader[] = "X-Tarragon-Attempt";

} // namespace tarragon::transport
