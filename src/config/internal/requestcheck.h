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

/// Returns NotAccepted with the failure's code and detail.
auto refuse(const failure &Error, config_version KnownVersion) -> apply_outcome;

/// Returns the outcome when all attempts failed. \p MayTakeEffect: a write of
/// the head may still take effect.
auto makeExhaustedOutcome(const failure &LastFailure, bool MayTakeEffect,
                          config_version KnownVersion) -> apply_outcome;

/// Returns MalformedRequest when change id or operator is not UTF-8 text of a
/// limited length; the limit bounds the size of the head, which stores both
/// for each recorded change.
auto checkChangeIdAndOperator(const apply_request &Request,
                              config_version KnownVersion)
    -> std::optional<apply_outcome>;

/// Refuses \p Request when its file is already in force, or when the head is
/// older than the configuration in force here.
auto checkAgainstHead(const config_head &Head, const apply_request &Request,
                      const accepted_config &InForce)
    -> std::optional<apply_outcome>;

/// Returns ForbiddenTeam when \p Requested changes objects of other teams.
auto checkTeam(const deployment &Old, const deployment &Requested,
               const apply_request &Request, config_version KnownVersion)
    -> std::optional<apply_outcome>;

/// Returns the configuration of \p Head with the content \p Text; its
/// deployment is null when the parser refuses \p Text.
auto toAccepted(const config_head &Head, std::string Text) -> accepted_config;

/// Formats a fault as "line:column: detail".
auto describeFault(const config_fault &Fault) -> std::string;

} // namespace tarragon::config
