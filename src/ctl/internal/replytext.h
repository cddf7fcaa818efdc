#pragma once

#include "ctl/types/entryreply.h"

#include <string>

namespace tarragon::ctl {

/// A reply from its HTTP status and body. A body that is no JSON object counts
/// as no reply.
auto readReply(int Status, const std::string &Body) -> entry_reply;

/// The text under \p Name, or empty.
auto textOf(const Json::Value &Body, const char *Name) -> std::string;

/// The whole number under \p Name, or 0.
auto numberOf(const Json::Value &Body, const char *Name) -> std::uint64_t;

/// The list under \p Name, or an empty one.
auto listOf(const Json::Value &Body, const char *Name) -> const Json::Value &;

} // namespace tarragon::ctl
