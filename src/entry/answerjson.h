#pragma once

#include "world/types/queryanswer.h"

#include <json/forwards.h>

namespace tarragon::entry {

/// Encodes \p Answer as the response body of a caller's query.
auto answerJson(const query_answer &Answer) -> Json::Value;

/// Encodes a body that holds only \p Code, its name and \p Detail.
auto resultJson(result_code Code, const std::string &Detail) -> Json::Value;

/// Returns the snake_case name of \p Outcome used in answers.
auto outcomeName(attempt_outcome Outcome) -> const char *;

} // namespace tarragon::entry
