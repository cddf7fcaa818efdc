#include "global/resultcode.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

namespace tarragon {

namespace {

constexpr int FirstNotRun = 200;
constexpr int LastNotRun = 299;

auto snakeCase(const std::string_view Name) -> std::string {
  std::string Converted;
  for (const char Character : Name) {
    const bool Upper = std::isupper(static_cast<unsigned char>(Character)) != 0;
    if (Upper && !Converted.empty())
      Converted += '_';
    Converted +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(Character)));
  }
  return Converted;
}

struct raw_row {
  result_code Code;
  std::string_view Name;
  int HttpStatus;
  std::string_view Meaning;
};

constexpr auto RawRows = std::to_array<raw_row>({
#define TARRAGON_RESULT(Name, Number, HttpStatus, Meaning)                     \
  {result_code::Name, #Name, HttpStatus, Meaning},
#include "global/types/resultcodes.def"
#undef TARRAGON_RESULT
});

struct code_table {
  std::array<std::string, RawRows.size()> Names;
  std::vector<result_row> Rows;

  code_table() {
    for (std::size_t Index = 0; Index < RawRows.size(); ++Index) {
      const auto &Raw = RawRows[Index];
      Names[Index] = snakeCase(Raw.Name);
      Rows.push_back({Raw.Code, Names[Index], Raw.HttpStatus, Raw.Meaning});
    }
  }
};

auto table() -> const code_table & {
  static const code_table Table;
  return Table;
}

} // namespace

auto resultTable() -> std::span<const result_row> { return table().Rows; }

auto resultRow(const result_code Code) -> const result_row & {
  const auto &Rows = table().Rows;
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(),
                   [Code](const result_row &Row) { return Row.Code == Code; });
  return Found != Rows.end() ? *Found : resultRow(result_code::Internal);
}

auto resultFromNumber(const int Number) -> std::optional<result_code> {
  for (const auto &Row : table().Rows)
    if (static_cast<int>(Row.Code) == Number)
      return Row.Code;
  return std::nullopt;
}

auto isNotRun(const result_code Code) -> bool {
  const int Number = static_cast<int>(Code);
  return Number >= FirstNotRun && Number <= LastNotRun;
}

} // namespace tarragon
