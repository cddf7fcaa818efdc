#pragma once

#include "global/result.h"

#include <json/forwards.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace tarragon {

/// Parses one JSON object. Fails with MalformedRequest if \p Text is not an
/// object, and with TooDeep if it is nested deeper than \p MaxDepth.
auto parseJson(std::string_view Text, std::size_t MaxDepth = 32)
    -> result<Json::Value>;

/// Serialises \p Value without white space.
auto writeJson(const Json::Value &Value) -> std::string;

} // namespace tarragon
