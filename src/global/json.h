#pragma once

#include "global/result.h"

#include <json/forwards.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace tarragon {

/// Reads one JSON object. MalformedRequest when \p Text is no object, TooDeep
/// when it nests deeper than \p MostDepth.
auto parseJson(std::string_view Text, std::size_t MostDepth = 32)
    -> result<Json::Value>;

/// Writes \p Value without white space.
auto writeJson(const Json::Value &Value) -> std::string;

} // namespace tarragon
