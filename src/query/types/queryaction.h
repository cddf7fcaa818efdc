#pragma once

#include "query/types/cancelsubrequest.h"
#include "query/types/finishquery.h"
#include "query/types/sendsubrequest.h"

#include <variant>
#include <vector>

namespace tarragon::query {

using query_action =
    std::variant<send_subrequest, cancel_subrequest, finish_query>;
using query_actions = std::vector<query_action>;

} // namespace tarragon::query
