#pragma once

#include "bench/core/childprocess.h"
#include "bench/core/eventloop.h"
#include "bench/core/topology.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tarragon::bench {

/// Where the programs are and where their output goes.
struct cluster_settings {
  std::string Daemon;
  std::string TargetProgram;
  std::string PlatformProgram;
  std::string Folder; ///< for logs; must exist
  std::uint64_t Seed = 1;
};

/// The real processes of one experiment. All end with it.
class cluster {
public:
  cluster(cluster_settings Settings, topology Topology, event_loop &Loop);

  /// Starts all, applies the file, waits until every instance answers.
  /// An error text, or nothing.
  auto start() -> std::optional<std::string>;

  auto topologyPlan() const -> const topology & { return Topology; }
  auto targets() const -> const std::vector<target_place> & { return Targets; }
  auto runLog() const -> std::string;

  /// POST /control of a target; a text of JSON members.
  auto controlTarget(std::size_t Number, const std::string &Members) -> void;

  /// The same without waiting, for use while load is played.
  auto postTarget(std::size_t Number, const std::string &Members) -> void;
  auto killTarget(std::size_t Number) -> void;
  auto startTarget(std::size_t Number) -> void;
  auto targetExited(std::size_t Number) -> bool;

  /// The sum of one member of all targets' states; those that don't answer
  /// count what they last said.
  auto sumOfTargets(const char *Member) -> double;
  auto platformCounters() -> Json::Value;
  auto controlPlatform(const std::string &Path, const std::string &Body)
      -> void;

  auto startEntry(std::size_t Number) -> void;
  auto signalEntry(std::size_t Number, int Signal) -> void;
  auto entryExit(std::size_t Number) -> std::optional<int>;

  /// Instances that ended otherwise than by SIGKILL from here or with status
  /// 0, as texts.
  auto crashedEntries() -> std::vector<std::string>;
  auto entry(std::size_t Number) const -> entry_place;
  auto entryCount() const -> std::size_t { return Entries.size(); }

  /// Tells the platform's instance list of the entries started and not in
  /// \p Leaving.
  auto publishInstances(const std::vector<instance_id> &Leaving = {}) -> void;
  auto publishSnapshot(const std::string &Versions) -> void;

  /// POST /admin/v1/apply at one instance; the answer.
  auto apply(std::size_t Entry, const std::string &Text,
             const std::string &ChangeId, std::uint64_t Base) -> Json::Value;

  /// GET an admin path at one instance; null when it doesn't answer.
  auto admin(std::size_t Entry, const std::string &Path) -> Json::Value;
  auto waitEntry(std::size_t Number, milliseconds Limit) -> bool;

  /// User and system time of all instances.
  auto entryCpu() const -> milliseconds;

private:
  auto startTargets() -> void;
  auto waitFor(const address &Address, const std::string &Path) -> bool;
  auto targetArguments(std::size_t Number) const -> std::vector<std::string>;
  auto seedAddresses() const -> std::string;
  auto logPath(const std::string &Name) const -> std::string;

  cluster_settings Settings;
  topology Topology;
  event_loop &Loop;
  std::vector<target_place> Targets;
  std::optional<child_process> Platform;
  std::map<std::size_t, child_process> TargetProcesses;
  std::map<std::size_t, child_process> Entries;
  std::set<std::size_t> KilledEntries;
  std::vector<Json::Value> LastStates;
  std::uint64_t SnapshotVersion = 0;
};

} // namespace tarragon::bench
