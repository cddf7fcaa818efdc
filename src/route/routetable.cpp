#include "route/routetable.h"

#include <algorithm>
#include <cctype>

namespace tarragon::route {

namespace {

auto lowerCase(std::string_view Text) -> std::string {
  std::string Lower(Text);
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](const unsigned char Character) { return std::tolower(Character); });
  return Lower;
}

auto withoutPort(const std::string_view Host) -> std::string_view {
  // An IPv6 address in brackets has colons of its own.
  const auto Address = Host.find(']');
  const auto Colon =
      Host.find(':', Address == std::string_view::npos ? 0 : Address);
  return Host.substr(0, Colon);
}

} // namespace

route_table::route_table(std::shared_ptr<const route_set> NewSet)
    : Set(std::move(NewSet)) {
  for (const route &Route : Set->Routes)
    Hosts[lowerCase(Route.Host)][Route.Prefix.size()].emplace(Route.Prefix,
                                                              &Route);
}

auto route_table::find(const std::string_view Host,
                       const std::string_view RequestTarget) const
    -> const route * {
  const auto HostEntry = Hosts.find(lowerCase(withoutPort(Host)));
  if (HostEntry == Hosts.end())
    return nullptr;
  const std::string_view Path =
      RequestTarget.substr(0, RequestTarget.find('?'));
  for (const auto &[Length, Routes] : HostEntry->second) {
    if (Length > Path.size())
      continue;
    const auto Found = Routes.find(Path.substr(0, Length));
    if (Found != Routes.end())
      return Found->second;
  }
  return nullptr;
}

} // namespace tarragon::route
