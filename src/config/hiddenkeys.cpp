#include "config/hiddenkeys.h"

#include <yaml-cpp/yaml.h>

namespace tarragon::config {

auto hideKeys(const std::string &Text) -> std::string {
  YAML::Node Root = YAML::Load(Text);
  for (YAML::Node Account : Root["accounts"]) {
    YAML::Node Hidden(YAML::NodeType::Sequence);
    for (std::size_t Count = Account["keys"].size(); Count > 0; --Count)
      Hidden.push_back("hidden key");
    Account["keys"] = Hidden;
  }
  return YAML::Dump(Root) + "\n";
}

} // namespace tarragon::config
