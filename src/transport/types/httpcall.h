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
  bool NeverResend = false;     ///< a reused connection found dead is an error
  std::string ExpectedEcho;     ///< value of EchoHeader the reply must repeat
};

/// Header in which a reply repeats the id of the attempt that it answers.
inline constexpr char EchoHeader[] = "X-Tarragon-Attempt";

} // namespace tarragon::transport
