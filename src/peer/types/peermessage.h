#pragma once

#include "account/types/usagereport.h"
#include "admission/types/crashreport.h"
#include "membership/types/gossipmessage.h"
#include "once/types/sealedledger.h"
#include "world/types/settlement.h"
#include "world/types/subrequest.h"

#include <string>
#include <variant>

namespace tarragon::peer {

/// Requests that the group owner runs a subrequest.
struct dispatch_message {
  subrequest Request;
};

/// Cancels a subrequest that its coordinator no longer needs.
struct cancel_message {
  subrequest_id Id;
  group_id Group;
};

/// The group owner's settlement of a dispatched subrequest.
struct settle_message {
  settlement Settlement;
};

/// Reports a target that crashed while running a request.
struct crash_message {
  admission::crash_report Report;
};

/// Requests the configuration in force if it is newer than Have.
struct config_request {
  config_version Have = 0;
};

/// A complete accepted configuration.
struct config_offer {
  config_version Version = 0;
  std::string Text;
  std::string ContentHash;
  std::string ChangeId;
  std::string Operator;
};

/// The final ledger of a leaving instance.
struct ledger_message {
  once::sealed_ledger Ledger;
};

/// The requests of client accounts that an instance admitted.
struct usage_message {
  account::usage_report Report;
};

using peer_message =
    std::variant<dispatch_message, cancel_message, settle_message,
                 membership::gossip_message, crash_message, config_request,
                 config_offer, ledger_message, usage_message>;

} // namespace tarragon::peer
