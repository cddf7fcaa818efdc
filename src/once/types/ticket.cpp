#include "once/types/ticket.h"

#include <charconv>

namespace tarragon::once {

namespace {

/// Reads the number behind the last dot and drops both from \p Text. Only the
/// one spelling that formatTicket() writes is taken.
auto takeLastNumber(std::string_view &Text) -> std::optional<std::uint64_t> {
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
  constexpr std::uint64_t MostMilliseconds = INT64_MAX;
  const auto Number = takeLastNumber(Text);
  const auto Issued = Number ? takeLastNumber(Text) : std::nullopt;
  const auto Life = Issued ? takeLastNumber(Text) : std::nullopt;
  if (!Life || Text.empty() || *Issued > MostMilliseconds)
    return std::nullopt;
  return ticket{std::string(Text), *Life,
                milliseconds(static_cast<milliseconds::rep>(*Issued)), *Number};
}

} // namespace tarragon::once
