#include "admission/internal/requestqueue.h"

namespace tarragon::admission::internal {

auto request_queue::push(request_state &Request) -> void {
  Waiting.emplace(Request.Request.Deadline, Request.Number);
  Request.Queued = true;
}

auto request_queue::remove(request_state &Request) -> void {
  if (!Request.Queued)
    return;
  Waiting.erase({Request.Request.Deadline, Request.Number});
  Request.Queued = false;
}

} // namespace tarragon::admission::internal
