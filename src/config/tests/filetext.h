#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace tarragon::config {

/// Returns the text of a file in the examples folder.
inline auto exampleText(const std::string &Name) -> std::string {
  std::ifstream File(std::string(TARRAGON_SOURCE_DIR) + "/examples/" + Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Returns a small file, valid with the default arguments.
inline auto smallFile(const std::string &Limits = "{slots: 2, connections: 20}",
                      const std::string &Contract = "merge: top_k")
    -> std::string {
  return "services:\n"
         "  - {id: s, team: t, index: i, limits: " +
         Limits +
         ", groups: {a: [x d1 127.0.0.1:1]}}\n"
         "contracts:\n"
         "  - {id: c, team: t, services: [s], deadline: 200ms, " +
         Contract + "}\n";
}

/// Returns \p Text with the first occurrence of \p Old replaced by \p New.
inline auto replaced(std::string Text, const std::string &Old,
                     const std::string &New) -> std::string {
  return Text.replace(Text.find(Old), Old.size(), New);
}

} // namespace tarragon::config
