#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace tarragon::once {

/// The right to run one non-repeatable request, valid for one incarnation of
/// one instance.
struct ticket {
  instance_id Instance;
  incarnation Incarnation = 0;
  milliseconds IssuedAfterStart{0}; ///< by that instance's own clock
  std::uint64_t Number = 0;

  auto operator==(const ticket &) const -> bool = default;
  auto operator<=>(const ticket &) const = default;
};

/// Returns the text sent to callers:
/// "<instance>.<incarnation>.<issued>.<number>".
auto formatTicket(const ticket &Ticket) -> std::string;
/// Returns nothing if \p Text isn't a text that formatTicket() can return.
auto parseTicket(std::string_view Text) -> std::optional<ticket>;

} // namespace tarragon::once
