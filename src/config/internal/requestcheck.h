#pragma once

#include "config/types/acceptedconfig.h"
#include "config/types/applyoutcome.h"
#include "config/types/applyrequest.h"
#include "config/types/configfault.h"
#include "config/types/confighead.h"
#include "global/types/failure.h"

#include <optional>
#include <string>

namespace tarragon::config {

/// NotAccepted with the failure's code and detail.
auto refuse(const failure &Why, config_version Seen) -> apply_outcome;

/// The outcome when all tries are used up. \p MayLand: a write of the head
/// may still take effect.
auto exhausted(const failure &Last, bool MayLand, config_version Seen)
    -> apply_outcome;

/// MalformedRequest when change id or operator are no text of a length that
/// the head can hold for each of its changes.
auto checkNames(const apply_request &Request, config_version Seen)
    -> std::optional<apply_outcome>;

/// Why \p Request may not replace \p Head: nothing would change, or the head
/// is older than what is in force here.
auto checkAgainstHead(const config_head &Head, const apply_request &Request,
                      const accepted_config &InForce)
    -> std::optional<apply_outcome>;

/// ForbiddenTeam when \p Wanted changes other teams' objects.
auto checkTeam(const deployment &Old, const deployment &Wanted,
               const apply_request &Request, config_version Seen)
    -> std::optional<apply_outcome>;

/// The configuration of \p Head; its deployment is null when the parser
/// refuses \p Text.
auto toAccepted(const config_head &Head, std::string Text) -> accepted_config;

/// "line:column: detail".
auto describeFault(const config_fault &Fault) -> std::string;

} // namespace tarragon::config
