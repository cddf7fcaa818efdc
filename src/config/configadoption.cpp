#include "config/configadoption.h"

#include "config/deploymentfile.h"
#include "global/hash.h"

#include <utility>

namespace tarragon::config {

auto config_adoption::adopt(accepted_config NewConfig) -> bool {
  if (NewConfig.Version <= Config.Version || isRefused(NewConfig.Version))
    return false;
  if (contentHash(NewConfig.Text) != NewConfig.ContentHash)
    return false;
  parsed_file File = parseDeployment(NewConfig.Text);
  if (!File.Faults.empty()) {
    NewConfig.Deployment = nullptr;
    if (!Refused || Refused->Config.Version < NewConfig.Version)
      Refused = refused_config{std::move(NewConfig), File.Faults.front()};
    return false;
  }
  NewConfig.Deployment =
      std::make_shared<const deployment>(std::move(File.Deployment));
  Config = std::move(NewConfig);
  if (Refused && Refused->Config.Version < Config.Version)
    Refused.reset();
  return true;
}

auto config_adoption::isRefused(const config_version Version) const -> bool {
  return Refused && Refused->Config.Version == Version;
}

} // namespace tarragon::config
