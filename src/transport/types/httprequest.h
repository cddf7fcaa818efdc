#pragma once

#include "transport/types/httpheader.h"

#include <map>
#include <string>
#include <vector>

namespace tarragon::transport {

/// An HTTP request received by a server of this process.
struct http_request {
  std::string Method;                            ///< upper case
  std::string Path;                              ///< without the query
  std::map<std::string, std::string> Parameters; ///< of the query
  std::string Authorization;                     ///< empty when not sent
  std::string Body;
  /// Headers that the server's settings name, in the order received.
  std::vector<http_header> Headers;

  /// Returns the query parameter \p Name, or \p Default.
  auto parameter(const std::string &Name, std::string Default = {}) const
      -> std::string {
    const auto Found = Parameters.find(Name);
    return Found == Parameters.end() ? std::move(Default) : Found->second;
  }
};

} // namespace tarragon::transport
