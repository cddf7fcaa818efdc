#pragma once

#include "global/resultcode.h"
#include "world/types/ids.h"

#include <json/value.h>

#include <string>

namespace tarragon::ctl {

/// How far a call got.
enum class reply_state {
  NotSent, ///< proven not sent: no connection was made
  NoReply, ///< may have been sent, but no valid reply arrived
  Replied
};

/// The result of a call.
struct entry_reply {
  reply_state State = reply_state::NotSent;
  address Entry;                      ///< that replied or was called last
  Json::Value Body;                   ///< an object; null unless replied
  result_code Code = result_code::Ok; ///< code in the body; see readReply
  std::string Error;                  ///< a short phrase, unless replied
};

} // namespace tarragon::ctl
