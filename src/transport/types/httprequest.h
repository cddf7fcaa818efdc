#pragma once

#include <map>
#include <string>

namespace tarragon::transport {

/// One request to a server of ours.
struct http_request {
  std::string Method; ///< upper case
  std::string Path;   ///< without the query
  std::map<std::string, std::string> Parameters;
  std::string Authorization; ///< empty when not sent
  std::string Body;

  /// The parameter \p Name, or \p Otherwise.
  auto parameter(const std::string &Name, std::string Otherwise = {}) const
      -> std::string {
    const auto Found = Parameters.find(Name);
    return Found == Parameters.end() ? std::move(Otherwise) : Found->second;
  }
};

} // namespace tarragon::transport
