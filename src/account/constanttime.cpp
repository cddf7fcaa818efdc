#include "account/constanttime.h"

#include <cstddef>

namespace tarragon::account {

auto equalInConstantTime(const std::string_view Presented,
                         const std::string_view Secret) -> bool {
  if (Secret.empty())
    return Presented.empty();
  // The volatile accumulator keeps the compiler from leaving the loop once the
  // result is known.
  volatile std::size_t Difference = Presented.size() ^ Secret.size();
  std::size_t InSecret = 0;
  for (const char Character : Presented) {
    const auto Left = static_cast<unsigned char>(Character);
    const auto Right = static_cast<unsigned char>(Secret[InSecret]);
    Difference = Difference | static_cast<std::size_t>(Left ^ Right);
    // Wraps round without a branch at the end of a shorter secret.
    ++InSecret;
    InSecret *= static_cast<std::size_t>(InSecret != Secret.size());
  }
  return Difference == 0;
}

} // namespace tarragon::account
