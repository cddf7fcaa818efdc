#include "slope.h"

#include "admission/groupdispatcher.h"
#include "query/scatterquery.h"
#include "query/versiontable.h"

#include <memory>

namespace tarragon::slopes {

namespace {

const std::vector<double> Shards{30, 180, 540};
const std::vector<double> Bursts{10, 50, 100};
const time_point Now{std::chrono::hours(1)};
constexpr std::size_t Items = 10;
constexpr std::size_t ItemBytes = 80;

auto manyItems(const std::string &Group) -> std::vector<item> {
  std::vector<item> Answer;
  for (std::size_t Item = 0; Item < Items; ++Item)
    Answer.push_back({Group + "-" + std::to_string(Item),
                      1.0 / static_cast<double>(Item + 1),
                      std::string(ItemBytes, 'i')});
  return Answer;
}

auto world(const std::size_t Groups) -> deployment {
  service Service{"petals", "", "index", {}, {}};
  for (std::size_t Group = 0; Group < Groups; ++Group) {
    const std::string Id = "petals/" + std::to_string(Group);
    Service.Groups.push_back({Id, {{Id + "a", "10.0.0.1:1", "domain-1"}}});
  }
  contract Contract;
  Contract.Id = "search";
  Contract.Services = {"petals"};
  deployment World;
  World.Services = {Service};
  World.Contracts = {Contract};
  return World;
}

/// Measures a complete query at its coordinator: start, all settlements and the
/// merged answer.
auto rootTime(const std::size_t Groups) -> double {
  constexpr std::size_t Queries = 5;
  const auto World = std::make_shared<const deployment>(world(Groups));
  query::version_table Versions;
  for (const replica_group &Group : World->Services[0].Groups)
    Versions.recordHeld(Group.Targets[0].Id, {{7, Groups}}, Now);
  const auto Answer = manyItems("key");
  return processorTime(Queries, [&] {
    query::scatter_query Query(1, "entry-17", {"r", "search", "body"}, World, 9,
                               false);
    for (const auto &Action : Query.start(Versions, Now))
      if (const auto *Send = std::get_if<query::send_subrequest>(&Action)) {
        settlement Settlement;
        Settlement.Id = Send->Request.Id;
        Settlement.Outcome = attempt_outcome::Answered;
        Settlement.Version = Send->Request.Version;
        Settlement.Shard = Send->Request.Shard;
        Settlement.ShardCount = Send->Request.ShardCount;
        Settlement.Items = Answer;
        Settlement.Attempts = 1;
        Query.onSettlement(Settlement, Versions, Now);
      }
    if (!Query.finished())
      std::abort();
  });
}

/// Measures a burst of subrequests at their group owner, answered one after the
/// other.
auto ownerTime(const std::size_t Burst) -> double {
  const service Service{"petals",
                        "",
                        "index",
                        {5, 40},
                        {{"petals/0",
                          {{"a", "10.0.0.1:1", "d1"},
                           {"b", "10.0.0.2:1", "d2"},
                           {"c", "10.0.0.3:1", "d3"}}}}};
  constexpr std::size_t Rounds = 20;
  const auto Answer = manyItems("key");
  return processorTime(Rounds, [&] {
    admission::group_dispatcher Dispatcher(Service, Service.Groups[0],
                                           {"entry-17", 1, "d1"},
                                           admission::dispatcher_role::Owner);
    std::vector<attempt_id> Running;
    const auto Collect = [&Running](
                             const admission::dispatch_actions &Actions) {
      for (const auto &Action : Actions)
        if (const auto *Start = std::get_if<admission::start_attempt>(&Action))
          Running.push_back(Start->Attempt);
    };
    for (std::size_t Number = 0; Number < Burst; ++Number) {
      subrequest Request;
      Request.Id = {Number, 0, 0};
      Request.Contract = "search";
      Request.Service = "petals";
      Request.Group = "petals/0";
      Request.ShardCount = 1;
      Request.Deadline = Now + milliseconds(200);
      Collect(Dispatcher.submit(Request, Now));
    }
    for (std::size_t Done = 0; Done < Running.size(); ++Done)
      Collect(Dispatcher.onAttemptDone(
          {Running[Done], attempt_outcome::Answered, 0, 0, 1, Answer, {}},
          Now));
  });
}

} // namespace

auto querySlopes() -> std::vector<slope> {
  return {measure("root_query_time", "ns", "shard", Shards, rootTime),
          measure("owner_burst_time", "ns", "subrequest", Bursts, ownerTime)};
}

} // namespace tarragon::slopes
