#pragma once

#include "global/resultcode.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"

#include <string>

namespace tarragon::entry {

/// Returns an answer to \p Request that holds only \p Code and \p Detail.
inline auto refusedAnswer(const query_request &Request, const result_code Code,
                          std::string Detail = {}) -> query_answer {
  query_answer Answer;
  Answer.RequestId = Request.RequestId;
  Answer.Code = Code;
  Answer.Detail = std::move(Detail);
  return Answer;
}

} // namespace tarragon::entry
