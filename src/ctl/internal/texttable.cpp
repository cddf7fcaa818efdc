#include "ctl/texttable.h"

#include <algorithm>

namespace tarragon::ctl {

auto text_table::add(std::vector<std::string> Cells) -> void {
  Cells.resize(Rows.front().size());
  Rows.push_back(std::move(Cells));
}

auto text_table::text() const -> std::string {
  constexpr std::size_t Gap = 2;
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const auto &Row : Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  std::string Text;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] + Gap - Row[Column].size(), ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

} // namespace tarragon::ctl
