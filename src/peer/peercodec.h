#pragma once

#include "global/result.h"
#include "global/types/time.h"
#include "peer/types/peermessage.h"

#include <json/forwards.h>

namespace tarragon::peer {

/// Encodes \p Message; a deadline is written as the time that remains at
/// \p Now.
auto encodeMessage(const peer_message &Message, time_point Now) -> Json::Value;

/// Decodes a result of encodeMessage(); returns MalformedRequest for an unknown
/// type or a wrong field, MalformedTicket for a ledger with a malformed ticket.
auto decodeMessage(const Json::Value &Value, time_point Now)
    -> result<peer_message>;

/// Encodes or decodes an instance; decodeInstance() throws Json::Exception on a
/// wrong type.
auto encodeInstance(const instance &Instance) -> Json::Value;
auto decodeInstance(const Json::Value &Value) -> instance;

} // namespace tarragon::peer
