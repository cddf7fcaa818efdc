#pragma once

#include "global/result.h"

#include <string>
#include <string_view>

namespace tarragon {

/// Compresses \p Bytes to the raw deflate format (RFC 1951).
auto deflateBytes(std::string_view Bytes) -> std::string;

/// Decompresses raw deflate data. Fails with MalformedRequest if \p Bytes is
/// not a complete deflate stream or its content exceeds \p MaxBytes.
auto inflateBytes(std::string_view Bytes, std::size_t MaxBytes)
    -> result<std::string>;

} // namespace tarragon
