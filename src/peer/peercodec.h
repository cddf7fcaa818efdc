#pragma once

#include "global/result.h"
#include "global/types/time.h"
#include "peer/types/peermessage.h"

#include <json/forwards.h>

namespace tarragon::peer {

/// Writes \p Message; deadlines become the time that remains at \p Now.
auto encodeMessage(const peer_message &Message, time_point Now) -> Json::Value;

/// Reads what encodeMessage() wrote; MalformedRequest for anything else.
auto decodeMessage(const Json::Value &Value, time_point Now)
    -> result<peer_message>;

auto encodeInstance(const instance &Instance) -> Json::Value;
auto decodeInstance(const Json::Value &Value) -> instance;

} // namespace tarragon::peer
