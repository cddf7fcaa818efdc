#include "bench/core/audit.h"

#include "global/hash.h"
#include "global/json.h"
#include "standins/corpus.h"

#include <json/json.h>

#include <algorithm>
#include <fstream>
#include <unordered_map>

namespace tarragon::bench {

namespace {

constexpr std::size_t Limit = 10;
constexpr std::size_t MaxExamples = 5;

auto note(invariant_violations &Violations, const call_record &Record,
          const std::string &Fault) -> void {
  if (Violations.Examples.size() < MaxExamples)
    Violations.Examples.push_back(Record.Call.Body + ": " + Fault + " (code " +
                                  std::to_string(Record.Code) + ")");
}

auto isMissing(const call_record &Record, const service_id &Service,
               const std::size_t Shard) -> bool {
  return std::any_of(Record.Missing.begin(), Record.Missing.end(),
                     [&](const missing_shard &Missing) {
                       return Missing.Service == Service &&
                              Missing.Shard == Shard;
                     });
}

} // namespace

auto readRunLog(const std::string &Path) -> std::vector<run_event> {
  std::vector<run_event> Events;
  std::ifstream File(Path);
  std::string Line;
  while (std::getline(File, Line)) {
    const auto Parsed = parseJson(Line);
    if (!Parsed)
      continue;
    const Json::Value &Value = Parsed.value();
    Events.push_back({Value["event"].asString(), Value["target"].asString(),
                      Value["request"].asUInt64(), Value["service"].asString(),
                      Value["shard"].asUInt64(), Value["version"].asUInt64(),
                      microseconds(Value["at_us"].asInt64())});
  }
  return Events;
}

invariant_audit::invariant_audit(const topology &Topology)
    : Topology(Topology) {
  for (const held_version &Version : standins::parseVersions(Topology.Versions))
    addVersion(Version);
}

auto invariant_audit::addVersion(const held_version Version) -> void {
  Versions[Version.Version] = Version.ShardCount;
}

auto invariant_audit::servicesOf(const contract_id &Contract) const
    -> std::vector<service_id> {
  for (const contract_plan &Plan : Topology.Contracts)
    if (Plan.Id == Contract && !Plan.Services.empty())
      return Plan.Services;
  std::vector<service_id> Services;
  for (std::size_t Number = 0; Number < Topology.ServiceCount; ++Number)
    Services.push_back(serviceName(Number));
  return Services;
}

auto invariant_audit::checkAnswers(const std::vector<call_record> &Records,
                                   invariant_violations &Violations) -> void {
  for (const call_record &Record : Records) {
    if (Record.Code != 0 && Record.Code != 1)
      continue;
    const std::string Body = standins::corpusBody(Record.Version);
    const bool Mixed =
        std::any_of(Record.Items.begin(), Record.Items.end(),
                    [&](const item &Item) { return Item.Body != Body; });
    if (Mixed) {
      ++Violations.Mixed;
      note(Violations, Record, "items of a version other than stated");
      continue;
    }
    std::string Fault = coverageFault(Record);
    if (Fault.empty() && Record.Items != expectedItems(Record))
      Fault = "items differ from the expected items";
    if (Fault.empty())
      continue;
    ++Violations.CoverageErrors;
    note(Violations, Record, Fault);
  }
}

auto invariant_audit::coverageFault(const call_record &Record) const
    -> std::string {
  const auto Version = Versions.find(Record.Version);
  if (Version == Versions.end())
    return "unknown version " + std::to_string(Record.Version);
  const std::size_t Shards =
      Version->second * servicesOf(Record.Call.Contract).size();
  if (Record.Asked != Shards)
    return "requested shards " + std::to_string(Record.Asked) + " of " +
           std::to_string(Shards);
  if (Record.Answered + Record.Missing.size() != Record.Asked)
    return "answered and missing shards do not add up to the requested shards";
  if (Record.Complete != Record.Missing.empty())
    return "complete flag contradicts the missing shards";
  if (Record.Complete != (Record.Code == 0))
    return "complete flag contradicts the result code";
  return {};
}

auto invariant_audit::expectedItems(const call_record &Record)
    -> std::vector<item> {
  const std::size_t Shards = Versions.at(Record.Version);
  std::vector<item> All;
  for (const service_id &Service : servicesOf(Record.Call.Contract))
    for (std::size_t Shard = 0; Shard < Shards; ++Shard) {
      if (isMissing(Record, Service, Shard))
        continue;
      const auto Items =
          standins::bestItems(keysOf(Service, Shard, Shards), Record.Call.Body,
                              Record.Version, Limit);
      All.insert(All.end(), Items.begin(), Items.end());
    }
  std::sort(All.begin(), All.end(), standins::comesBefore);
  if (All.size() > Limit)
    All.resize(Limit);
  return All;
}

auto invariant_audit::keysOf(const service_id &Service, const std::size_t Shard,
                             const std::size_t ShardCount)
    -> const std::vector<std::string> & {
  const auto [Entry, New] = Keys.try_emplace({Service, {Shard, ShardCount}});
  if (New)
    Entry->second =
        standins::shardKeys(Service, Topology.ItemCount, Shard, ShardCount);
  return Entry->second;
}

auto invariant_audit::checkRuns(const std::vector<call_record> &Records,
                                const std::vector<run_event> &Events,
                                invariant_violations &Violations) -> void {
  std::unordered_map<std::uint64_t, std::size_t> Starts;
  for (const run_event &Event : Events)
    if (Event.Event == "start")
      ++Starts[Event.Request];
  for (const call_record &Record : Records) {
    const auto Found = Starts.find(hash64(Record.Call.Body));
    const std::size_t Count = Found == Starts.end() ? 0 : Found->second;
    if (!Record.Call.Repeatable && Count > 1) {
      ++Violations.RunTwice;
      note(Violations, Record, "started " + std::to_string(Count) + " times");
    }
    if (reportsNotRun(Record) && Count > 0) {
      ++Violations.FalseNotRun;
      note(Violations, Record, "answered not run, but was started");
    }
  }
}

} // namespace tarragon::bench
