#pragma once

#include <string>

namespace tarragon::config {

/// Whether \p Text holds exactly one YAML document. Throws YAML::Exception
/// when the text is not well-formed.
auto isOneDocument(const std::string &Text) -> bool;

} // namespace tarragon::config
