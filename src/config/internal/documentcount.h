#pragma once

#include <string>

namespace tarragon::config {

/// Returns whether \p Text contains exactly one YAML document. Throws
/// YAML::Exception when the text is not well-formed.
auto isOneDocument(const std::string &Text) -> bool;

} // namespace tarragon::config
