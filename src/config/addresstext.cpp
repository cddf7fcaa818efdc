#include "config/addresstext.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace tarragon::config {

namespace {

auto isPort(const std::string_view Text) -> bool {
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Port);
  return Error == std::errc{} && Rest == End && Port > 0;
}

auto isHost(const std::string_view Text) -> bool {
  in6_addr Bytes{};
  if (Text.size() > 2 && Text.front() == '[' && Text.back() == ']') {
    const std::string Host(Text.substr(1, Text.size() - 2));
    return inet_pton(AF_INET6, Host.c_str(), &Bytes) == 1;
  }
  return inet_pton(AF_INET, std::string(Text).c_str(), &Bytes) == 1;
}

} // namespace

auto isAddress(const std::string_view Text) -> bool {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  return isHost(Text.substr(0, Colon)) && isPort(Text.substr(Colon + 1));
}

} // namespace tarragon::config
