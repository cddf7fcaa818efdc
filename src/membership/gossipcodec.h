#pragma once

#include "membership/types/gossipmessage.h"

#include <json/forwards.h>

namespace tarragon::membership {

/// JSON forms of membership messages. Instances are arrays to keep datagrams
/// with many of them small. Readers throw Json::Exception on a wrong type.
auto writeInstance(const instance &Instance) -> Json::Value;
auto readInstance(const Json::Value &Value) -> instance;
auto writeGossip(const membership::gossip_message &Message) -> Json::Value;
auto readGossip(const Json::Value &Value) -> membership::gossip_message;

} // namespace tarragon::membership
