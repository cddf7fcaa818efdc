#include "config/internal/contentchunks.h"

namespace tarragon::config {

namespace {

constexpr std::size_t MaxSequenceBytes = 4; ///< bytes of one UTF-8 character

auto startsSequence(const char Byte) -> bool {
  return (static_cast<unsigned char>(Byte) & 0xC0U) != 0x80U;
}

} // namespace

auto splitContent(std::string_view Text, const std::size_t MaxBytes)
    -> std::vector<std::string> {
  std::vector<std::string> Chunks;
  while (Text.size() > MaxBytes) {
    std::size_t Cut = MaxBytes;
    while (Cut + MaxSequenceBytes > MaxBytes && Cut > 1 &&
           !startsSequence(Text[Cut]))
      --Cut;
    Chunks.emplace_back(Text.substr(0, Cut));
    Text.remove_prefix(Cut);
  }
  Chunks.emplace_back(Text);
  return Chunks;
}

} // namespace tarragon::config
