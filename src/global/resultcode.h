#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace tarragon {

/// The outcome of an operation. The numbers leave the process;
/// docs/RESULT_CODES.md explains each code.
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

/// Returns all result codes in ascending order of their numbers.
auto resultTable() -> std::span<const result_row>;

/// Returns the row of \p Code, or that of Internal if the table has none.
auto resultRow(result_code Code) -> const result_row &;

/// Returns the code with the number \p Number, or nothing if there is none.
auto resultFromNumber(int Number) -> std::optional<result_code>;

/// Returns whether \p Code states that the request is proven not to have been
/// executed and never will be.
auto isNotRun(result_code Code) -> bool;

} // namespace tarragon
