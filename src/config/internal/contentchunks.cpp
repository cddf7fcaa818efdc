#include "config/internal/contentchunks.h"

namespace tarragon::config {

namespace {

constexpr std::size_t LongestSequence = 4; ///< bytes of one UTF-8 character

auto startsCharacter(const char Byte) -> bool {
  return (static_cast<unsigned char>(Byte) & 0xC0U) != 0x80U;
}

} // namespace

auto splitContent(std::string_view Text, const std::size_t Longest)
    -> std::vector<std::string> {
  std::vector<std::string> Parts;
  while (Text.size() > Longest) {
    std::size_t Cut = Longest;
    while (Cut + LongestSequence > Longest && Cut > 1 &&
           !startsCharacter(Text[Cut]))
      --Cut;
    Parts.emplace_back(Text.substr(0, Cut));
    Text.remove_prefix(Cut);
  }
  Parts.emplace_back(Text);
  return Parts;
}

} // namespace tarragon::config
