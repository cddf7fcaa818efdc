#pragma once

#include "admission/types/attemptresult.h"
#include "admission/types/cancelattempt.h"
#include "admission/types/startattempt.h"
#include "transport/httpclient.h"
#include "transport/types/httpreply.h"
#include "world/types/ids.h"

#include <functional>

namespace tarragon::entry {

/// Client of the targets' protocol: each attempt and each cancel is one call.
class target_client {
public:
  using completion = std::function<void(admission::attempt_result)>;

  explicit target_client(instance_id Self);

  /// Sends the attempt and calls \p Done once, on the client's thread. An
  /// attempt whose deadline passed before sending ends as NotSent, with \p Done
  /// called on the calling thread.
  auto start(const admission::start_attempt &Start, completion Done) -> void;
  auto cancel(const admission::cancel_attempt &Cancel) -> void;

  auto setMaxConnections(long PerTarget) -> void;
  auto connectionsOpened() const -> std::uint64_t;

private:
  instance_id Self;
  transport::http_client Client;
};

/// Derives the result of \p Attempt from the reply to \p Request.
auto readAttemptReply(const attempt_id &Attempt, const subrequest &Request,
                      const transport::http_reply &Reply)
    -> admission::attempt_result;

} // namespace tarragon::entry
