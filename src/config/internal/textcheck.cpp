#include "config/internal/textcheck.h"

#include <array>
#include <cstdint>

namespace tarragon::config {

namespace {

/// One form of UTF-8 sequence, identified by its leading byte.
struct sequence_form {
  std::uint32_t Mask;
  std::uint32_t Lead;
  std::size_t Length;
  /// Smaller code points must use a shorter form; the one-byte form starts at
  /// 1, which excludes NUL.
  std::uint32_t MinCodePoint;
};

constexpr std::array Forms{
    sequence_form{0x80, 0x00, 1, 0x1},
    sequence_form{0xE0, 0xC0, 2, 0x80},
    sequence_form{0xF0, 0xE0, 3, 0x800},
    sequence_form{0xF8, 0xF0, 4, 0x10000},
};

constexpr std::uint32_t ContinuationMask = 0xC0;
constexpr std::uint32_t ContinuationLead = 0x80;
constexpr int ContinuationBits = 6;
constexpr std::uint32_t FirstSurrogate = 0xD800;
constexpr std::uint32_t LastSurrogate = 0xDFFF;
constexpr std::uint32_t MaxCodePoint = 0x10FFFF;

auto byteAt(const std::string_view Text, const std::size_t Position)
    -> std::uint32_t {
  return static_cast<unsigned char>(Text[Position]);
}

auto isValidCodePoint(const std::uint32_t CodePoint,
                      const std::uint32_t MinCodePoint) -> bool {
  const bool Surrogate =
      CodePoint >= FirstSurrogate && CodePoint <= LastSurrogate;
  return CodePoint >= MinCodePoint && CodePoint <= MaxCodePoint && !Surrogate;
}

/// Returns the length in bytes of the UTF-8 sequence at the start of \p Text,
/// or 0 when it is invalid.
auto sequenceLength(const std::string_view Text) -> std::size_t {
  for (const sequence_form &Form : Forms) {
    if ((byteAt(Text, 0) & Form.Mask) != Form.Lead)
      continue;
    if (Form.Length > Text.size())
      return 0;
    std::uint32_t CodePoint = byteAt(Text, 0) & ~Form.Mask;
    for (std::size_t Position = 1; Position < Form.Length; ++Position) {
      if ((byteAt(Text, Position) & ContinuationMask) != ContinuationLead)
        return 0;
      CodePoint = (CodePoint << ContinuationBits) |
                  (byteAt(Text, Position) & ~ContinuationMask);
    }
    return isValidCodePoint(CodePoint, Form.MinCodePoint) ? Form.Length : 0;
  }
  return 0;
}

} // namespace

auto findInvalidByte(const std::string_view Text) -> std::size_t {
  std::size_t Position = 0;
  while (Position < Text.size()) {
    const std::size_t Length = sequenceLength(Text.substr(Position));
    if (Length == 0)
      return Position;
    Position += Length;
  }
  return Position;
}

} // namespace tarragon::config
