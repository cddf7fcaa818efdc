#pragma once

#include "bytestream.h"

#include <strings.h>

#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// An HTTP request or response with a Content-Length, or without a body.
struct http_message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// Returns the first value of \p Name, or an empty string.
  auto field(const std::string &Name) const -> std::string {
    for (const auto &[Each, Value] : Fields)
      if (strcasecmp(Each.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }

  /// Returns the status of a response, or 0.
  auto status() const -> int {
    return StartLine.starts_with("HTTP/1.") && StartLine.size() >= 12
               ? std::atoi(StartLine.substr(9, 3).c_str())
               : 0;
  }
};

/// Reads a message; with \p IsBodyless, one whose head ends it, as a response
/// to HEAD does.
inline auto readMessage(byte_stream &Stream, const milliseconds Limit,
                        const bool IsBodyless = false)
    -> std::optional<http_message> {
  const auto Head = Stream.readUntil("\r\n\r\n", Limit);
  if (!Head)
    return std::nullopt;
  http_message Message;
  std::size_t At = Head->find("\r\n");
  Message.StartLine = Head->substr(0, At);
  for (At += 2; At + 2 < Head->size();) {
    const std::size_t End = Head->find("\r\n", At);
    const std::string Line = Head->substr(At, End - At);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Fields.emplace_back(
          Line.substr(0, Colon),
          Value == std::string::npos ? std::string() : Line.substr(Value));
    }
    At = End + 2;
  }
  const std::string Length = Message.field("Content-Length");
  if (IsBodyless || Length.empty())
    return Message;
  auto Body =
      Stream.readExactly(std::strtoul(Length.c_str(), nullptr, 10), Limit);
  if (!Body)
    return std::nullopt;
  Message.Body = std::move(*Body);
  return Message;
}

} // namespace review
