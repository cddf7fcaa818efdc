#pragma once

#include "admission/types/attemptresult.h"
#include "admission/types/cancelattempt.h"
#include "admission/types/startattempt.h"
#include "transport/linkloop.h"
#include "transport/types/httpreply.h"
#include "world/types/ids.h"

#include <functional>

namespace tarragon::entry {

/// Speaks the targets' protocol: one attempt a call, cancels on the side.
class target_link {
public:
  using completion = std::function<void(admission::attempt_result)>;

  explicit target_link(instance_id Self);

  /// Sends the attempt; \p Done comes once, on the link's thread. An attempt
  /// whose deadline passed before sending is told as NotSent.
  auto start(const admission::start_attempt &Start, completion Done) -> void;
  auto cancel(const admission::cancel_attempt &Cancel) -> void;

  auto limitConnections(long PerTarget) -> void;
  auto connectionsOpened() const -> std::uint64_t;

private:
  instance_id Self;
  transport::link_loop Loop;
};

/// What a reply to \p Request proves of attempt \p Attempt.
auto readAttemptReply(const attempt_id &Attempt, const subrequest &Request,
                      const transport::http_reply &Reply)
    -> admission::attempt_result;

} // namespace tarragon::entry
