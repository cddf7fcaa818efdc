#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragon::test {

/// The sequence of choices of one random test case. An exhausted sequence
/// always picks choice 0, so that shorter sequences cause fewer faults.
class choice_sequence {
public:
  explicit choice_sequence(std::vector<std::uint8_t> Bytes)
      : Bytes(std::move(Bytes)) {}

  /// Returns the next choice: a number below \p Choices, which must not be 0.
  auto pick(const std::size_t Choices) -> std::size_t {
    return Next < Bytes.size() ? Bytes[Next++] % Choices : 0;
  }

  auto exhausted() const -> bool { return Next >= Bytes.size(); }

private:
  std::vector<std::uint8_t> Bytes;
  std::size_t Next = 0;
};

} // namespace tarragon::test
