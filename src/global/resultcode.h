#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace tarragon {

/// The numbered outcome of any operation. docs/RESULT_CODES.md explains each.
enum class result_code : int {
#define TARRAGON_RESULT(Name, Number, HttpStatus, Meaning) Name = Number,
#include "global/types/resultcodes.def"
#undef TARRAGON_RESULT
};

/// One row of the table of result codes.
struct result_row {
  result_code Code;
  std::string_view Name; ///< snake_case, as sent to callers
  int HttpStatus;
  std::string_view Meaning;
};

/// All result codes in ascending order of their numbers.
auto resultTable() -> std::span<const result_row>;

/// The row of \p Code.
auto resultRow(result_code Code) -> const result_row &;

/// The code sent as \p Number, or nothing when there is none.
auto resultFromNumber(int Number) -> std::optional<result_code>;

/// Whether \p Code states that the request was not run and never will be.
auto isNotRun(result_code Code) -> bool;

} // namespace tarragon
