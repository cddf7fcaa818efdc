#include "bench/core/naiveclient.h"

#include "bench/core/answerreader.h"
#include "global/hash.h"
#include "global/json.h"
#include "standins/corpus.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

namespace tarragon::bench {

namespace {

constexpr long ConnectionsPerTarget = 8;
constexpr std::size_t Limit = 10;
constexpr milliseconds PollPeriod{20};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto runBody(const scheduled_call &Call, const std::string &Attempt,
             const service_id &Service, const std::size_t Shard,
             const held_version &Version) -> std::string {
  Json::Value Body(Json::objectValue);
  Body["attempt"] = Attempt;
  Body["contract"] = Call.Contract;
  Body["service"] = Service;
  Body["shard"] = Json::UInt64(Shard);
  Body["shards"] = Json::UInt64(Version.ShardCount);
  Body["version"] = Json::UInt64(Version.Version);
  Body["limit"] = Json::UInt64(Limit);
  Body["repeatable"] = Call.Repeatable;
  Body["body"] = Call.Body;
  return writeJson(Body);
}

} // namespace

struct naive_client::flight {
  call_record *Record = nullptr;
  time_point Scheduled;
  time_point Deadline;
  std::vector<part> Parts;
  std::size_t Next = 0;
  bool Finished = false;
};

naive_client::naive_client(const topology &Topology,
                           const milliseconds Deadline)
    : Topology(Topology), Targets(placeTargets(Topology)), Deadline(Deadline),
      RequestedVersion(standins::parseVersions(Topology.Versions).back()) {}

naive_client::~naive_client() = default;

auto naive_client::partsOf(const scheduled_call &Call) const
    -> std::vector<part> {
  const auto Contract =
      std::find_if(Topology.Contracts.begin(), Topology.Contracts.end(),
                   [&](const auto &Plan) { return Plan.Id == Call.Contract; });
  std::vector<part> Parts;
  for (const target_placement &Target : Targets) {
    const auto &Services = Contract->Services;
    const bool Wanted =
        Services.empty() || std::find(Services.begin(), Services.end(),
                                      Target.Service) != Services.end();
    if (!Wanted || Target.Replica != 0)
      continue;
    for (std::size_t Shard = Target.Group; Shard < RequestedVersion.ShardCount;
         Shard += Topology.GroupCount)
      Parts.push_back({Target.Service, Shard, Target.Address});
  }
  if (Call.Key.empty())
    return Parts;
  return {Parts[hash64(Call.Key) % Parts.size()]};
}

auto naive_client::play(const std::vector<scheduled_call> &Calls)
    -> std::vector<call_record> {
  event_loop Loop(ConnectionsPerTarget);
  std::vector<call_record> Records(Calls.size());
  InFlight = Calls.size();
  const time_point Start = now();
  for (std::size_t Number = 0; Number < Calls.size(); ++Number) {
    const auto Flight = std::make_shared<flight>();
    Records[Number].Call = Calls[Number];
    Flight->Record = &Records[Number];
    Flight->Scheduled = Start + Calls[Number].At;
    Flight->Deadline = Flight->Scheduled + Deadline;
    Flight->Parts = partsOf(Calls[Number]);
    Loop.runAt(Flight->Scheduled,
               [this, &Loop, Flight] { advance(Loop, Flight); });
    // curl's timeout does not cover calls that wait for a connection.
    Loop.runAt(Flight->Deadline, [this, Flight] { finish(Flight); });
  }
  while (InFlight > 0)
    Loop.runUntil(now() + PollPeriod);
  return Records;
}

auto naive_client::advance(event_loop &Loop,
                           const std::shared_ptr<flight> &Flight) -> void {
  const auto Left = std::chrono::floor<milliseconds>(Flight->Deadline - now());
  if (Flight->Next == Flight->Parts.size() || Left.count() <= 0) {
    finish(Flight);
    return;
  }
  const part &Part = Flight->Parts[Flight->Next];
  const std::string Attempt = "naive.1." + std::to_string(++NextAttempt);
  ++Flight->Record->Attempts;
  Loop.start({"POST",
              Part.Target,
              "/v1/run",
              {"X-Tarragon-Attempt: " + Attempt,
               "X-Tarragon-Deadline-Ms: " + std::to_string(Left.count())},
              runBody(Flight->Record->Call, Attempt, Part.Service, Part.Shard,
                      RequestedVersion),
              Left},
             [this, &Loop, Flight](const http_answer &Answer) {
               receive(Loop, Flight, Answer);
             });
}

auto naive_client::addMissing(const part &Part, call_record &Record) -> void {
  missing_shard Missing;
  Missing.Service = Part.Service;
  Missing.Shard = Part.Shard;
  Record.Missing.push_back(std::move(Missing));
}

auto naive_client::receive(event_loop &Loop,
                           const std::shared_ptr<flight> &Flight,
                           const http_answer &Answer) -> void {
  if (Flight->Finished)
    return;
  call_record &Record = *Flight->Record;
  std::vector<item> Items;
  if (Answer.Status == 200 && readItems(Answer.Body, Items)) {
    ++Record.Answered;
    Record.Items.insert(Record.Items.end(), Items.begin(), Items.end());
  } else {
    addMissing(Flight->Parts[Flight->Next], Record);
  }
  ++Flight->Next;
  advance(Loop, Flight);
}

auto naive_client::finish(const std::shared_ptr<flight> &Flight) -> void {
  if (std::exchange(Flight->Finished, true))
    return;
  call_record &Record = *Flight->Record;
  for (; Flight->Next < Flight->Parts.size(); ++Flight->Next)
    addMissing(Flight->Parts[Flight->Next], Record);
  Record.Version = RequestedVersion.Version;
  Record.Asked = Flight->Parts.size();
  Record.Complete = Record.Asked == Record.Answered;
  Record.Code = Record.Complete ? 0 : 1;
  Record.Latency =
      std::chrono::duration_cast<microseconds>(now() - Flight->Scheduled);
  std::sort(Record.Items.begin(), Record.Items.end(), standins::comesBefore);
  if (Record.Items.size() > Limit)
    Record.Items.resize(Limit);
  --InFlight;
}

} // namespace tarragon::bench
