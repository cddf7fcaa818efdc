#pragma once

namespace tarragon {

/// Header of a caller's request: the key of a client account. Sent to other
/// instances with a forwarded request, never to targets.
inline constexpr char ApiKeyHeader[] = "X-Api-Key";

/// Header of a request to a target: the name of the caller's account.
inline constexpr char AccountHeader[] = "X-Tarragon-Account";

} // namespace tarragon
