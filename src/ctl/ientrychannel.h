#pragma once

#include "ctl/types/entrycall.h"
#include "ctl/types/entryreply.h"
#include "global/types/time.h"

#include <concepts>

namespace tarragon::ctl {

/// Transport of calls to entries, and the clock that they are timed with.
template <class Channel>
concept entry_channel = requires(Channel &Link, const entry_call &Call,
                                 milliseconds Time) {
  { Link.send(Call, Time) } -> std::same_as<entry_reply>;
  { Link.now() } -> std::same_as<time_point>;
  { Link.pause(Time) } -> std::same_as<void>;
};

} // namespace tarragon::ctl
