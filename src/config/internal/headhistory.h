#pragma once

#include "config/types/applyoutcome.h"
#include "config/types/applyrequest.h"
#include "config/types/confighead.h"

#include <optional>

namespace tarragon::config {

/// Returns Accepted or NotAccepted if the history in \p Head proves it, Unknown
/// if it no longer can. Returns nothing when the head's version is the
/// change's base: the change is not accepted yet and still may be.
auto deriveOutcome(const config_head &Head, const apply_request &Request)
    -> std::optional<apply_outcome>;

/// Returns the successor of \p Head that accepts \p Request.
auto nextHead(const config_head &Head, const apply_request &Request,
              const std::string &ContentHash, std::size_t Chunks)
    -> config_head;

/// Returns the key of a content chunk. \p Version is the one that the change
/// gets if it is accepted.
auto contentKey(config_version Version, const std::string &ContentHash,
                std::size_t Chunk) -> std::string;

/// Returns whether the content under \p Key is no longer needed: it belongs to
/// a change that lost to another one of the same version, or to a version that
/// is not among the newest \p KeptVersions ones.
auto isObsolete(const std::string &Key, const config_head &Head,
                config_version KeptVersions) -> bool;

constexpr const char *HeadKey = "config/head";
constexpr const char *ContentPrefix = "config/content/";

} // namespace tarragon::config
