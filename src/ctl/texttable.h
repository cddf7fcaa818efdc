#pragma once

#include <string>
#include <vector>

namespace tarragon::ctl {

/// Lines up rows of cells in columns, the first row being the heads.
class text_table {
public:
  explicit text_table(std::vector<std::string> Heads)
      : Rows{std::move(Heads)} {}

  /// Cells beyond the heads are left out, missing ones stay empty.
  auto add(std::vector<std::string> Cells) -> void;

  auto text() const -> std::string;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace tarragon::ctl
