#include "gateway/internal/loadheader.h"

#include <array>
#include <charconv>

namespace tarragon::gateway::internal {

namespace {

/// More requests than a target can hold connections for.
constexpr int MaxNumber = 100000;
/// A hundred times slower than usual.
constexpr int MaxPace = 10000;
constexpr double UsualPace = 100;

} // namespace

auto parseLoad(const std::string_view Text)
    -> std::optional<placement::told_load> {
  std::array<int, 4> Numbers{};
  std::size_t Count = 0;
  const char *At = Text.data();
  const char *End = Text.data() + Text.size();
  while (Count < Numbers.size()) {
    int &Number = Numbers[Count++];
    const auto Read = std::from_chars(At, End, Number);
    if (Read.ec != std::errc() || *At == '-' || Number > MaxNumber)
      return std::nullopt;
    At = Read.ptr;
    if (At == End)
      break;
    if (*At++ != ',' || Count == Numbers.size())
      return std::nullopt;
  }
  const auto [Running, Waiting, Slots, Pace] = Numbers;
  const bool HasPace = Count == Numbers.size();
  if (Count < 3 || Slots == 0 || (HasPace && (Pace == 0 || Pace > MaxPace)))
    return std::nullopt;
  return placement::told_load{Running, Waiting, Slots, Pace / UsualPace};
}

} // namespace tarragon::gateway::internal
