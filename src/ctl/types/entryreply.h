#pragma once

#include "global/resultcode.h"
#include "world/types/ids.h"

#include <json/value.h>

#include <string>

namespace tarragon::ctl {

/// How far a call came.
enum class reply_state {
  NotSent, ///< proven: no connection was made
  NoReply, ///< sent, but no usable reply came
  Replied
};

/// What became of a call.
struct entry_reply {
  reply_state State = reply_state::NotSent;
  address Entry;                      ///< that replied or was tried last
  Json::Value Body;                   ///< an object; null unless replied
  result_code Code = result_code::Ok; ///< of the body; Ok when it has none
  std::string Error;                  ///< one phrase, unless replied
};

} // namespace tarragon::ctl
