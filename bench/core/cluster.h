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

/// Paths of the programs and of their output.
struct cluster_settings {
  std::string Daemon;
  std::string TargetProgram;
  std::string PlatformProgram;
  std::string Folder; ///< log folder; must exist
  std::uint64_t Seed = 1;
};

/// The processes of an experiment: platform and target stand-ins and instances.
/// All are killed on destruction.
class cluster {
public:
  cluster(cluster_settings Settings, topology Topology, event_loop &Loop);

  /// Starts all processes, applies the deployment file and waits until it is in
  /// force at every instance. Returns an error text, or nothing on success.
  auto start() -> std::optional<std::string>;

  auto topologyPlan() const -> const topology & { return Topology; }
  auto targets() const -> const std::vector<target_placement> & {
    return Targets;
  }

  /// Returns the path of the targets' run log.
  auto runLog() const -> std::string;

  /// Sends the JSON object \p Members to POST /control of a target and waits
  /// for the response.
  auto controlTarget(std::size_t Number, const std::string &Members) -> void;

  /// As controlTarget(), without waiting, for use while load is played.
  auto postTarget(std::size_t Number, const std::string &Members) -> void;
  auto killTarget(std::size_t Number) -> void;
  auto startTarget(std::size_t Number) -> void;
  auto targetExited(std::size_t Number) -> bool;

  /// Returns the sum of a numeric member over the states of all targets. The
  /// last known state is used for targets that do not answer.
  auto sumOfTargets(const char *Member) -> double;
  auto platformCounters() -> Json::Value;
  auto controlPlatform(const std::string &Path, const std::string &Body)
      -> void;

  auto startEntry(std::size_t Number) -> void;
  auto signalEntry(std::size_t Number, int Signal) -> void;
  auto entryExit(std::size_t Number) -> std::optional<int>;

  /// Returns a text for each instance that exited with a status other than 0
  /// and was not killed by signalEntry().
  auto crashedEntries() -> std::vector<std::string>;
  auto entry(std::size_t Number) const -> entry_placement;
  auto entryCount() const -> std::size_t { return Entries.size(); }

  /// Publishes the started instances to the platform's instance list; those in
  /// \p Leaving are published as leaving.
  auto publishInstances(const std::vector<instance_id> &Leaving = {}) -> void;

  /// Publishes a snapshot of the last of \p Versions for all services.
  auto publishSnapshot(const std::string &Versions) -> void;

  /// Sends POST /admin/v1/apply to an instance and returns the answer.
  auto apply(std::size_t Entry, const std::string &Text,
             const std::string &ChangeId, std::uint64_t Base) -> Json::Value;

  /// Sends GET for an admin path to an instance. Returns the answer, or null if
  /// there is none.
  auto admin(std::size_t Entry, const std::string &Path) -> Json::Value;

  /// Waits until an instance has a configuration; false after \p Limit.
  auto waitEntry(std::size_t Number, milliseconds Limit) -> bool;

  /// Returns the user and system time used by all instances.
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
  std::vector<target_placement> Targets;
  std::optional<child_process> Platform;
  std::map<std::size_t, child_process> TargetProcesses;
  std::map<std::size_t, child_process> Entries;
  std::set<std::size_t> KilledEntries;
  std::vector<Json::Value> LastStates;
  std::uint64_t SnapshotVersion = 0;
};

} // namespace tarragon::bench
