#pragma once

#include "global/types/time.h"

#include <json/forwards.h>

#include <string>
#include <string_view>

namespace tarragon::gateway {

class gateway;
struct caller_answer;
struct caller_request;

/// Where answerExplain() is served, on the address of the metrics.
constexpr std::string_view ExplainPath = "/explain";

/// Returns as JSON how \p Gateway would treat \p Request if a caller of client
/// account \p Account (empty: without a key) sent it at \p Now, and why: the
/// route, the first check that refuses it, and for each part the targets with
/// their cost or the reason that excludes them. Sends nothing, takes no token
/// and changes no state.
auto viewExplanation(gateway &Gateway, const caller_request &Request,
                     const std::string &Account, time_point Now) -> Json::Value;

/// Answers \p Question, whose body is a JSON object: "host" and "target" (path
/// and query) of the request to explain, and optionally its "method" (GET) and
/// the "account" of its caller. Returns viewExplanation(), or 400 if the body
/// is no such object.
auto answerExplain(gateway &Gateway, const caller_request &Question,
                   time_point Now) -> caller_answer;

} // namespace tarragon::gateway
