#pragma once

#include "ctl/types/entryreply.h"

#include <string>

namespace tarragon::ctl {

/// Parses a reply from its HTTP status and body. A body that is not a JSON
/// object counts as no reply. Without a code in the body, the reply's code is
/// Ok for status 200 and Internal for others.
auto readReply(int Status, const std::string &Body) -> entry_reply;

/// Returns the value under \p Name as text, or an empty text.
auto textOf(const Json::Value &Body, const char *Name) -> std::string;

/// Returns the whole number under \p Name, or 0.
auto numberOf(const Json::Value &Body, const char *Name) -> std::uint64_t;

/// Returns the list under \p Name, or an empty one.
auto listOf(const Json::Value &Body, const char *Name) -> const Json::Value &;

} // namespace tarragon::ctl
