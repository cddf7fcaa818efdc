#pragma once

#include "once/types/ticket.h"
#include "world/types/queryanswer.h"

namespace tarragon::once {

/// The answer recorded for a ticket, with the fingerprint of its request.
struct recorded_answer {
  ticket Ticket;
  fingerprint Fingerprint = 0;
  query_answer Answer;

  auto operator==(const recorded_answer &) const -> bool = default;
};

} // namespace tarragon::once
