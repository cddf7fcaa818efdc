#pragma once

#include "admission/types/crashreport.h"
#include "membership/types/gossipmessage.h"
#include "once/types/sealedledger.h"
#include "world/types/settlement.h"
#include "world/types/subrequest.h"

#include <string>
#include <variant>

namespace tarragon::peer {

/// Asks the owner of a group to run a subrequest.
struct dispatch_message {
  subrequest Request;
};

/// The root needs a subrequest no longer.
struct cancel_message {
  subrequest_id Id;
  group_id Group;
};

/// The owner's answer to a dispatch.
struct settle_message {
  settlement Settlement;
};

/// A target crashed under a request.
struct crash_message {
  admission::crash_report Report;
};

/// Asks for the configuration in force when newer than Have.
struct config_request {
  config_version Have = 0;
};

/// An accepted configuration, whole.
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

using peer_message =
    std::variant<dispatch_message, cancel_message, settle_message,
                 membership::gossip_message, crash_message, config_request,
                 config_offer, ledger_message>;

} // namespace tarragon::peer
