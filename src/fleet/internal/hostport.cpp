#include "fleet/internal/hostport.h"

#include <charconv>

namespace tarragon::fleet::internal {

auto splitAddress(const std::string &Address) -> host_port {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return {Address, 0};
  host_port Split{Address.substr(0, Colon), 0};
  std::from_chars(Address.data() + Colon + 1, Address.data() + Address.size(),
                  Split.Port);
  return Split;
}

} // namespace tarragon::fleet::internal
