#pragma once

#include "gateway/types/callerrequest.h"

#include <optional>
#include <string>
#include <string_view>

namespace tarragon::gateway::internal {

/// Serializes an answer. Hop-by-hop headers are left out, and Content-Length is
/// always the length of the body. With \p CloseAfter, the answer announces that
/// the connection is closed after it.
auto writeAnswer(const caller_answer &Answer, bool CloseAfter) -> std::string;

/// Returns whether a header applies to a single connection only and must not be
/// forwarded. Content-Length counts as one, as it is written anew.
auto isHopByHop(std::string_view Name) -> bool;

/// Returns the headers that may be forwarded: without hop-by-hop headers and
/// those listed in a Connection header.
auto forwardedHeaders(const header_fields &Fields) -> header_fields;

/// Formats a time as decimal seconds, for use in a header.
auto secondsText(milliseconds Time) -> std::string;

/// Parses decimal seconds, with a fraction or without; bounded to ten minutes.
/// Returns nothing for any other text.
auto parseSeconds(std::string_view Text) -> std::optional<milliseconds>;

} // namespace tarragon::gateway::internal
