#pragma once

#include <pistache/http_header.h>

#include <ostream>
#include <string>

namespace tarragon::standins {

/// The X-Tarragon-Attempt header, which a target echoes in every response.
class attempt_header : public Pistache::Http::Header::Header {
public:
  NAME("X-Tarragon-Attempt")

  attempt_header() = default;
  explicit attempt_header(std::string Attempt) : Attempt(std::move(Attempt)) {}

  auto parse(const std::string &Text) -> void override { Attempt = Text; }
  auto write(std::ostream &Stream) const -> void override { Stream << Attempt; }

private:
  std::string Attempt;
};

} // namespace tarragon::standins
