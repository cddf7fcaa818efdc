#pragma once

#include "global/result.h"

#include <json/forwards.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace tarragon {

/// The members that readJsonFields() reads.
struct json_fields {
  std::vector<std::string_view> Names;
  std::size_t MaxTextBytes = 1024; ///< of a member's text
  std::size_t MaxDepth = 32;       ///< of the whole object
};

/// Reads the members \p Fields of a JSON object, each of which is null, a
/// boolean, a number or a text, and returns an object of those present. The
/// other members must be valid JSON, but are not kept: the memory needed
/// depends on \p Fields, not on the size of \p Text.
///
/// Fails with MalformedRequest if \p Text is no object or if one of the members
/// occurs twice, is an array or an object, or has too long a text; with TooDeep
/// if \p Text is nested too deeply.
auto readJsonFields(std::string_view Text, const json_fields &Fields)
    -> result<Json::Value>;

} // namespace tarragon
