#pragma once

#include "global/result.h"

#include <string_view>
#include <vector>

namespace tarragon {

/// One member of a JSON object, or one element of an array, as text.
struct json_member {
  std::string_view Name; ///< without quotes, escapes kept; empty in an array
  std::string_view Value;
};

/// Splits the text of a JSON object or array into its members without parsing
/// them, so that a member that can't be parsed doesn't affect the others. Needs
/// no stack space for nested values, however deep. Fails with MalformedRequest
/// if \p Text is neither an object nor an array, or if its brackets, quotes,
/// commas or colons don't match. The result refers to \p Text.
auto splitJson(std::string_view Text) -> result<std::vector<json_member>>;

/// Returns the value of the first of \p Members with \p Name, or an empty view.
auto findMember(const std::vector<json_member> &Members, std::string_view Name)
    -> std::string_view;

} // namespace tarragon
