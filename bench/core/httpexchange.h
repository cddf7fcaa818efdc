#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::bench {

struct http_exchange {
  std::string Method = "GET";
  address To;
  std::string Path;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;
  milliseconds Timeout{2000};
};

/// How an exchange ended. Status is 0 when no whole answer came.
struct http_answer {
  int Status = 0;
  bool NeverSent = false; ///< no connection could be had
  std::string Body;
};

} // namespace tarragon::bench
