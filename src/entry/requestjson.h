#pragma once

#include "global/result.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"

#include <json/forwards.h>

#include <string_view>

namespace tarragon::entry {

/// Parses a caller's request. Returns MalformedRequest, with the name of the
/// wrong member if there is one, or TooDeep when the JSON nests too deeply.
auto readRequest(std::string_view Body) -> result<query_request>;

/// Encodes \p Request in the form that readRequest() parses.
auto requestJson(const query_request &Request) -> Json::Value;

/// Parses an answer that another instance encoded with answerJson().
auto readAnswerJson(const Json::Value &Value) -> result<query_answer>;

} // namespace tarragon::entry
