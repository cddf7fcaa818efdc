#pragma once

#include "global/result.h"

#include <string>
#include <string_view>

namespace tarragon {

/// \p Bytes in raw deflate form (RFC 1951).
auto deflated(std::string_view Bytes) -> std::string;

/// What deflated() was given; MalformedRequest for anything else, and for
/// more than \p MostBytes.
auto inflated(std::string_view Bytes, std::size_t MostBytes)
    -> result<std::string>;

} // namespace tarragon
