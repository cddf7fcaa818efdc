#pragma once

#include "world/types/queryanswer.h"

#include <json/forwards.h>

namespace tarragon::entry {

/// The answer as callers get it.
auto answerJson(const query_answer &Answer) -> Json::Value;

/// A body that holds only a result code.
auto refusalJson(result_code Code, const std::string &Detail) -> Json::Value;

/// The name of \p Outcome in answers, snake_case.
auto outcomeName(attempt_outcome Outcome) -> const char *;

} // namespace tarragon::entry
