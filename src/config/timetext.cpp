#include "config/timetext.h"

#include <array>
#include <charconv>

namespace tarragon::config {

namespace {

struct time_unit {
  std::string_view Name;
  microseconds Length;
};

constexpr std::array Units{
    time_unit{"h", std::chrono::hours{1}},
    time_unit{"m", std::chrono::minutes{1}},
    time_unit{"s", std::chrono::seconds{1}},
    time_unit{"ms", std::chrono::milliseconds{1}},
    time_unit{"us", std::chrono::microseconds{1}},
};

constexpr microseconds MaxTime = std::chrono::hours{24 * 365};

} // namespace

auto parseTime(const std::string_view Text) -> std::optional<microseconds> {
  std::int64_t Count = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Count);
  if (Error != std::errc{} || Count < 0)
    return std::nullopt;
  const std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  for (const time_unit &Unit : Units)
    if (Unit.Name == Name && Count <= MaxTime / Unit.Length)
      return Count * Unit.Length;
  return std::nullopt;
}

auto formatTime(const microseconds Time) -> std::string {
  for (const time_unit &Unit : Units)
    if (Time >= Unit.Length && Time % Unit.Length == microseconds{0})
      return std::to_string(Time / Unit.Length) + std::string(Unit.Name);
  return std::to_string(Time.count()) + "us";
}

} // namespace tarragon::config
