#pragma once

#include "global/types/time.h"
#include "world/types/instance.h"
#include "world/types/queryanswer.h"
#include "world/types/settlement.h"
#include "world/types/subrequest.h"

#include <json/forwards.h>

namespace tarragon::peer {

/// JSON forms of the types in world/. Readers throw Json::Exception on a wrong
/// type; decodeMessage() catches it. Deadlines are sent as the time that
/// remains at \p Now, since clocks differ between hosts.
auto writeId(const subrequest_id &Id) -> Json::Value;
auto readId(const Json::Value &Value) -> subrequest_id;
auto writeSubrequest(const subrequest &Request, time_point Now) -> Json::Value;
auto readSubrequest(const Json::Value &Value, time_point Now) -> subrequest;
auto writeSettlement(const settlement &Settlement) -> Json::Value;
auto readSettlement(const Json::Value &Value) -> settlement;
auto writeItems(const std::vector<item> &Items) -> Json::Value;
auto readItems(const Json::Value &Value) -> std::vector<item>;
auto writeHeld(const std::vector<held_version> &Held) -> Json::Value;
auto readHeld(const Json::Value &Value) -> std::vector<held_version>;
auto writeAnswer(const query_answer &Answer) -> Json::Value;
auto readAnswer(const Json::Value &Value) -> query_answer;

} // namespace tarragon::peer
