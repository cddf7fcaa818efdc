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
constexpr std::size_t MostExamples = 5;

auto note(broken_promises &Broken, const call_record &Record,
          const std::string &Fault) -> void {
  if (Broken.Examples.size() < MostExamples)
    Broken.Examples.push_back(Record.Call.Body + ": " + Fault + " (code " +
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

promise_audit::promise_audit(const topology &Topology) : Topology(Topology) {
  for (const held_version &Version : standins::parseVersions(Topology.Versions))
    addVersion(Version);
}

auto promise_audit::addVersion(const held_version Version) -> void {
  Versions[Version.Version] = Version.ShardCount;
}

auto promise_audit::servicesOf(const contract_id &Contract) const
    -> std::vector<service_id> {
  for (const contract_plan &Plan : Topology.Contracts)
    if (Plan.Id == Contract && !Plan.Services.empty())
      return Plan.Services;
  std::vector<service_id> Services;
  for (std::size_t Number = 0; Number < Topology.ServiceCount; ++Number)
    Services.push_back(serviceName(Number));
  return Services;
}

auto promise_audit::checkAnswers(const std::vector<call_record> &Records,
                                 broken_promises &Broken) -> void {
  for (const call_record &Record : Records) {
    if (Record.Code != 0 && Record.Code != 1)
      continue;
    const std::string Body = standins::corpusBody(Record.Version);
    const bool Mixed =
        std::any_of(Record.Items.begin(), Record.Items.end(),
                    [&](const item &Item) { return Item.Body != Body; });
    if (Mixed) {
      ++Broken.Mixed;
      note(Broken, Record, "items of another version");
      continue;
    }
    std::string Fault = coverageFault(Record);
    if (Fault.empty() && Record.Items != expectedItems(Record))
      Fault = "items differ from the reference";
    if (Fault.empty())
      continue;
    ++Broken.CoverageErrors;
    note(Broken, Record, Fault);
  }
}

auto promise_audit::coverageFault(const call_record &Record) const
    -> std::string {
  const auto Version = Versions.find(Record.Version);
  if (Version == Versions.end())
    return "no such version: " + std::to_string(Record.Version);
  const std::size_t Shards =
      Version->second * servicesOf(Record.Call.Contract).size();
  if (Record.Asked != Shards)
    return "asked " + std::to_string(Record.Asked) + " of " +
           std::to_string(Shards);
  if (Record.Answered + Record.Missing.size() != Record.Asked)
    return "answered and missing don't add up";
  if (Record.Complete != Record.Missing.empty())
    return "complete and missing disagree";
  if (Record.Complete != (Record.Code == 0))
    return "complete and the code disagree";
  return {};
}

auto promise_audit::expectedItems(const call_record &Record)
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

auto promise_audit::keysOf(const service_id &Service, const std::size_t Shard,
                           const std::size_t ShardCount)
    -> const std::vector<std::string> & {
  const auto [Entry, New] = Keys.try_emplace({Service, {Shard, ShardCount}});
  if (New)
    Entry->second =
        standins::shardKeys(Service, Topology.ItemCount, Shard, ShardCount);
  return Entry->second;
}

auto promise_audit::checkRuns(const std::vector<call_record> &Records,
                              const std::vector<run_event> &Events,
                              broken_promises &Broken) -> void {
  std::unordered_map<std::uint64_t, std::size_t> Starts;
  for (const run_event &Event : Events)
    if (Event.Event == "start")
      ++Starts[Event.Request];
  for (const call_record &Record : Records) {
    const auto Found = Starts.find(hash64(Record.Call.Body));
    const std::size_t Count = Found == Starts.end() ? 0 : Found->second;
    if (!Record.Call.Repeatable && Count > 1) {
      ++Broken.RunTwice;
      note(Broken, Record, "began " + std::to_string(Count) + " times");
    }
    if (saysNotRun(Record) && Count > 0) {
      ++Broken.FalseNotRun;
      note(Broken, Record, "not run, yet began");
    }
  }
}

} // namespace tarragon::bench
