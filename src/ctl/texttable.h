#pragma once

#include <string>
#include <vector>

namespace tarragon::ctl {

/// Table of text, formatted as aligned columns; the first row contains the
/// headings.
class text_table {
public:
  explicit text_table(std::vector<std::string> Headings)
      : Rows{std::move(Headings)} {}

  /// Adds a row. Cells beyond the last heading are dropped, missing ones stay
  /// empty.
  auto add(std::vector<std::string> Cells) -> void;

  auto text() const -> std::string;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace tarragon::ctl
