#pragma once

#include "gateway/types/callerrequest.h"

#include <string>
#include <string_view>

namespace tarragon::gateway::internal {

/// The bytes of an answer. Headers that concern only one connection are left
/// out, and the length is always that of the body.
auto writeAnswer(const caller_answer &Answer, bool LastOne) -> std::string;

/// Whether a header concerns only one connection.
auto concernsConnection(std::string_view Name) -> bool;

/// The headers of \p Fields that may be passed on: neither those that concern
/// only one connection nor those that a Connection header names.
auto passedOn(const header_fields &Fields) -> header_fields;

/// A time for a header, in seconds with fractions.
auto secondsText(milliseconds Time) -> std::string;

} // namespace tarragon::gateway::internal
