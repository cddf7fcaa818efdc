#pragma once

#include "global/result.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"

#include <json/forwards.h>

#include <string_view>

namespace tarragon::entry {

/// Reads a caller's request. MalformedRequest names the member that is wrong,
/// TooDeep when it nests too deeply.
auto readRequest(std::string_view Body) -> result<query_request>;

/// Writes what readRequest() reads.
auto requestJson(const query_request &Request) -> Json::Value;

/// Reads an answer that another instance wrote by answerJson().
auto readAnswerJson(const Json::Value &Value) -> result<query_answer>;

} // namespace tarragon::entry
