#include "once/types/ticket.h"

#include <charconv>

namespace tarragon::once {

namespace {

/// Parses the number after the last dot and removes both from \p Text. Accepts
/// only the spelling that formatTicket() writes, without leading zeros.
auto consumeLastNumber(std::string_view &Text) -> std::optional<std::uint64_t> {
  const std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const std::string_view Digits = Text.substr(Dot + 1);
  if (Digits.empty() || (Digits.size() > 1 && Digits.front() == '0'))
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *const End = Digits.data() + Digits.size();
  const auto [At, Error] = std::from_chars(Digits.data(), End, Number);
  if (Error != std::errc{} || At != End)
    return std::nullopt;
  Text = Text.substr(0, Dot);
  return Number;
}

} // namespace

auto formatTicket(const ticket &Ticket) -> std::string {
  return Ticket.Instance + '.' + std::to_string(Ticket.Incarnation) + '.' +
         std::to_string(Ticket.IssuedAfterStart.count()) + '.' +
         std::to_string(Ticket.Number);
}

auto parseTicket(std::string_view Text) -> std::optional<ticket> {
  constexpr std::uint64_t MaxMilliseconds = INT64_MAX;
  const auto Number = consumeLastNumber(Text);
  const auto Issued = Number ? consumeLastNumber(Text) : std::nullopt;
  const auto Incarnation = Issued ? consumeLastNumber(Text) : std::nullopt;
  if (!Incarnation || Text.empty() || *Issued > MaxMilliseconds)
    return std::nullopt;
  return ticket{std::string(Text), *Incarnation,
                milliseconds(static_cast<milliseconds::rep>(*Issued)), *Number};
}

} // namespace tarragon::once
