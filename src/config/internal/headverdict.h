#pragma once

#include "config/types/applyoutcome.h"
#include "config/types/applyrequest.h"
#include "config/types/confighead.h"

#include <optional>

namespace tarragon::config {

/// What a head proves about a change. Nothing: the change was not accepted up
/// to this head, whose version is the change's base, so it still may be.
auto judgeHead(const config_head &Head, const apply_request &Request)
    -> std::optional<apply_outcome>;

/// The head that accepts \p Request on top of \p Head.
auto nextHead(const config_head &Head, const apply_request &Request,
              const std::string &ContentHash, std::size_t Chunks)
    -> config_head;

/// The key of a content chunk; \p Version is the one it becomes if accepted.
auto contentKey(config_version Version, const std::string &ContentHash,
                std::size_t Chunk) -> std::string;

/// Whether the content under \p Key can never be needed again: it belongs to
/// a change that lost its race, or to one accepted more than \p Kept versions
/// ago.
auto isObsolete(const std::string &Key, const config_head &Head,
                config_version Kept) -> bool;

constexpr const char *HeadKey = "config/head";
constexpr const char *ContentPrefix = "config/content/";

} // namespace tarragon::config
