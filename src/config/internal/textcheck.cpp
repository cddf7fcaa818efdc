#include "config/internal/textcheck.h"

#include <array>
#include <cstdint>

namespace tarragon::config {

namespace {

/// The characters that a leading byte may begin.
struct sequence_form {
  std::uint32_t Mask;
  std::uint32_t Lead;
  std::size_t Length;
  std::uint32_t Least; ///< smaller ones must be written shorter
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
constexpr std::uint32_t LastCharacter = 0x10FFFF;

auto byteAt(const std::string_view Text, const std::size_t Place)
    -> std::uint32_t {
  return static_cast<unsigned char>(Text[Place]);
}

auto isCharacter(const std::uint32_t Code, const std::uint32_t Least) -> bool {
  const bool Surrogate = Code >= FirstSurrogate && Code <= LastSurrogate;
  return Code >= Least && Code <= LastCharacter && !Surrogate;
}

/// The length of the character at the front of \p Text; 0 when it is none.
auto characterLength(const std::string_view Text) -> std::size_t {
  for (const sequence_form &Form : Forms) {
    if ((byteAt(Text, 0) & Form.Mask) != Form.Lead)
      continue;
    if (Form.Length > Text.size())
      return 0;
    std::uint32_t Code = byteAt(Text, 0) & ~Form.Mask;
    for (std::size_t Place = 1; Place < Form.Length; ++Place) {
      if ((byteAt(Text, Place) & ContinuationMask) != ContinuationLead)
        return 0;
      Code = (Code << ContinuationBits) |
             (byteAt(Text, Place) & ~ContinuationMask);
    }
    return isCharacter(Code, Form.Least) ? Form.Length : 0;
  }
  return 0;
}

} // namespace

auto findBadByte(const std::string_view Text) -> std::size_t {
  std::size_t Place = 0;
  while (Place < Text.size()) {
    const std::size_t Length = characterLength(Text.substr(Place));
    if (Length == 0)
      return Place;
    Place += Length;
  }
  return Place;
}

} // namespace tarragon::config
