#pragma once

#include "query/types/pinnedsnapshot.h"
#include "world/types/contract.h"
#include "world/types/queryrequest.h"

#include <optional>
#include <string>

namespace tarragon::query {

/// Maximum number of items on the pages before the requested one.
constexpr std::size_t MaxOffset = 100000;

/// Position of the next page of a query, and the snapshot it reads.
struct continuation_token {
  pinned_snapshot Snapshot;
  std::size_t Offset = 0;

  auto operator==(const continuation_token &) const -> bool = default;
};

/// Returns the token text sent to callers. A checksum over the token, the
/// contract, the key and the body binds it to this query. The checksum detects
/// mistakes; it isn't a signature.
auto formatToken(const continuation_token &Token, const contract &Contract,
                 const query_request &Request) -> std::string;

/// Returns nothing if \p Text is malformed or belongs to another query.
auto parseToken(std::string_view Text, const contract &Contract,
                const query_request &Request)
    -> std::optional<continuation_token>;

} // namespace tarragon::query
