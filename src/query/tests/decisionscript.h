#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragon::test {

/// Choices of one random case, read one by one; an exhausted script always
/// picks the first choice, so that short scripts are calm cases.
class decision_script {
public:
  explicit decision_script(std::vector<std::uint8_t> Bytes)
      : Bytes(std::move(Bytes)) {}

  /// A number below \p Choices, which must not be 0.
  auto pick(const std::size_t Choices) -> std::size_t {
    return Next < Bytes.size() ? Bytes[Next++] % Choices : 0;
  }

  auto exhausted() const -> bool { return Next >= Bytes.size(); }

private:
  std::vector<std::uint8_t> Bytes;
  std::size_t Next = 0;
};

} // namespace tarragon::test
