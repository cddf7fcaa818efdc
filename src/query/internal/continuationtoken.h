#pragma once

#include "query/types/pinnedsnapshot.h"
#include "world/types/contract.h"
#include "world/types/queryrequest.h"

#include <optional>
#include <string>

namespace tarragon::query {

/// Most items that pages before the asked one may hold.
constexpr std::size_t MostOffset = 100000;

/// Where the next page of a query begins, and in which snapshot.
struct continuation_token {
  pinned_snapshot Snapshot;
  std::size_t Offset = 0;

  auto operator==(const continuation_token &) const -> bool = default;
};

/// The text handed to callers. It carries a checksum over itself, the
/// contract, the key and the body: it continues this one query only. The
/// checksum finds mistakes, it isn't a signature.
auto formatToken(const continuation_token &Token, const contract &Contract,
                 const query_request &Request) -> std::string;

/// Nothing when \p Text is malformed or of another query.
auto parseToken(std::string_view Text, const contract &Contract,
                const query_request &Request)
    -> std::optional<continuation_token>;

} // namespace tarragon::query
