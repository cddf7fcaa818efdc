#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::bench {

/// An HTTP request to send.
struct http_exchange {
  std::string Method = "GET";
  address To;
  std::string Path;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;
  milliseconds Timeout{2000};
};

/// The result of an exchange. Status is 0 if no complete answer was received.
struct http_answer {
  int Status = 0;
  bool NotConnected = false; ///< no connection could be established
  std::string Body;
};

} // namespace tarragon::bench
