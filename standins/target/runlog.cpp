#include "standins/target/runlog.h"

#include "global/hash.h"
#include "global/json.h"

#include <json/value.h>

#include <fcntl.h>
#include <unistd.h>

namespace tarragon::standins {

run_log::run_log(const std::string &Path, target_id Target)
    : Target(std::move(Target)) {
  if (!Path.empty())
    File =
        ::open(Path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

run_log::~run_log() {
  if (File >= 0)
    ::close(File);
}

auto run_log::write(const std::string_view Event, const target_run &Run,
                    const microseconds Duration) const -> void {
  if (File < 0)
    return;
  const auto Now = std::chrono::steady_clock::now().time_since_epoch();
  Json::Value Line(Json::objectValue);
  Line["event"] = std::string(Event);
  Line["target"] = Target;
  Line["attempt"] = Run.Attempt;
  Line["request"] = Json::UInt64(hash64(Run.Body));
  Line["service"] = Run.Service;
  Line["shard"] = Json::UInt64(Run.Shard);
  Line["version"] = Json::UInt64(Run.Version);
  Line["repeatable"] = Run.Repeatable;
  Line["ms"] = static_cast<double>(Duration.count()) / 1000.0;
  Line["at_us"] =
      Json::Int64(std::chrono::duration_cast<microseconds>(Now).count());
  const std::string Text = writeJson(Line) + "\n";
  // A short write is visible to readers of the log as a malformed line.
  [[maybe_unused]] const auto Written = ::write(File, Text.data(), Text.size());
}

} // namespace tarragon::standins
