#pragma once

#include "gateway/types/callerrequest.h"
#include "global/json.h"

namespace tarragon::gateway {

/// Returns an answer of status 200 with \p Value as its body.
inline auto jsonAnswer(const Json::Value &Value) -> caller_answer {
  caller_answer Answer;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  Answer.Body = writeJson(Value);
  return Answer;
}

} // namespace tarragon::gateway
