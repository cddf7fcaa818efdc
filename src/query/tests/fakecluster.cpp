#include "query/tests/fakecluster.h"

#include "global/hash.h"

#include <algorithm>
#include <iterator>

namespace tarragon::test {

namespace {

constexpr std::size_t MaxShards = 5;
constexpr std::size_t KeysPerService = 17;
constexpr std::uint64_t DistinctScores = 5; // few, for many equal scores

} // namespace

fake_cluster::fake_cluster(choice_sequence &Choices) {
  contract Contract;
  Contract.Id = "search";
  Contract.Merge = static_cast<merge_kind>(Choices.pick(3));
  Contract.Limit = 1 + Choices.pick(8);
  const std::size_t Services =
      Contract.Merge == merge_kind::ByKey ? 1 : 1 + Choices.pick(3);
  for (std::size_t Number = 0; Number < Services; ++Number) {
    service Service;
    Service.Id = "s" + std::to_string(Number);
    Service.Index = "index";
    const std::size_t Groups = 1 + Choices.pick(3);
    for (std::size_t Group = 0; Group < Groups; ++Group) {
      const group_id Id = Service.Id + "/g" + std::to_string(Group);
      Service.Groups.push_back({Id, {{Id + "a", "", ""}, {Id + "b", "", ""}}});
      for (const target &Target : Service.Groups.back().Targets)
        ServiceOf[Target.Id] = Service.Id;
    }
    for (const index_version Version : {1, 2})
      Partition[Version][Service.Id] = 1 + Choices.pick(MaxShards);
    Contract.Services.push_back(Service.Id);
    Deployment.Services.push_back(std::move(Service));
  }
  Deployment.Contracts.push_back(std::move(Contract));
  for (const auto &[Target, Service] : ServiceOf)
    Held[Target] = {{1, Partition[1][Service]}, {2, Partition[2][Service]}};
}

auto fake_cluster::shardItems(const service_id &Service,
                              const index_version Version,
                              const std::size_t Shard) const
    -> std::vector<item> {
  std::vector<item> Items;
  for (std::size_t Number = 0; Number < KeysPerService; ++Number) {
    const std::string Key = "k" + std::to_string(Number);
    if (hash64(Key) % Partition.at(Version).at(Service) != Shard)
      continue;
    const std::uint64_t Score = hash64(Service + Key, Version) % DistinctScores;
    Items.push_back({Key, static_cast<double>(Score),
                     Service + "@" + std::to_string(Version)});
  }
  std::sort(Items.begin(), Items.end(), [](const item &A, const item &B) {
    return A.Score != B.Score ? A.Score > B.Score : A.Key < B.Key;
  });
  return Items;
}

auto fake_cluster::serve(const subrequest &Request,
                         choice_sequence &Choices) const -> settlement {
  const service *const Service = Deployment.findService(Request.Service);
  settlement Settlement;
  Settlement.Id = Request.Id;
  Settlement.Outcome = attempt_outcome::WrongVersion;
  Settlement.ProvenNotRun = true;
  Settlement.Attempts = 1;
  const auto &Targets = Service->groupOf(Request.Shard).Targets;
  const std::size_t First = Choices.pick(Targets.size());
  for (std::size_t Step = 0; Step < Targets.size(); ++Step) {
    const target &Target = Targets[(First + Step) % Targets.size()];
    Settlement.Target = Target.Id;
    Settlement.Held = Held.at(Target.Id);
    if (std::count(Settlement.Held.begin(), Settlement.Held.end(),
                   held_version{Request.Version, Request.ShardCount}) == 0)
      continue;
    Settlement.Outcome = attempt_outcome::Answered;
    Settlement.ProvenNotRun = false;
    Settlement.Version = Request.Version;
    Settlement.Shard = Request.Shard;
    Settlement.ShardCount = Request.ShardCount;
    Settlement.Items =
        shardItems(Request.Service, Request.Version, Request.Shard);
    if (Settlement.Items.size() > Request.Limit)
      Settlement.Items.resize(Request.Limit);
    break;
  }
  return Settlement;
}

auto fake_cluster::publish(choice_sequence &Choices) -> void {
  ++Newest;
  for (const service &Service : Deployment.Services)
    Partition[Newest][Service.Id] = 1 + Choices.pick(MaxShards);
  for (auto &[Target, Versions] : Held)
    if (Choices.pick(4) != 1)
      Versions.push_back({Newest, Partition[Newest][ServiceOf[Target]]});
}

auto fake_cluster::randomTarget(choice_sequence &Choices) const -> target_id {
  return std::next(Held.begin(),
                   static_cast<std::ptrdiff_t>(Choices.pick(Held.size())))
      ->first;
}

auto fake_cluster::dropOldest(choice_sequence &Choices) -> void {
  auto &Versions = Held[randomTarget(Choices)];
  if (Versions.size() > 1)
    Versions.erase(Versions.begin());
}

auto fake_cluster::reportHeld(query::version_table &Table,
                              choice_sequence &Choices) const -> void {
  const target_id Target = randomTarget(Choices);
  Table.recordHeld(Target, Held.at(Target), time_point{});
}

auto fake_cluster::referenceAnswer(const query_request &Request,
                                   const index_version Version,
                                   const std::size_t Offset) const
    -> query_answer {
  const contract &Contract = Deployment.Contracts.front();
  const std::size_t End = Offset + Contract.Limit;
  query_answer Answer;
  Answer.Code = result_code::Ok;
  Answer.Version = Version;
  for (const service_id &Service : Contract.Services) {
    const std::size_t Shards = Partition.at(Version).at(Service);
    for (std::size_t Shard = 0; Shard < Shards; ++Shard) {
      if (Contract.Merge == merge_kind::ByKey &&
          Shard != hash64(Request.Key) % Shards)
        continue;
      std::vector<item> Items = shardItems(Service, Version, Shard);
      Items.resize(std::min(Items.size(), End));
      std::copy(Items.begin(), Items.end(), std::back_inserter(Answer.Items));
      ++Answer.Coverage.Asked;
      ++Answer.Coverage.Answered;
    }
  }
  if (Contract.Merge == merge_kind::TopK)
    std::stable_sort(Answer.Items.begin(), Answer.Items.end(),
                     [](const item &A, const item &B) {
                       return A.Score != B.Score ? A.Score > B.Score
                                                 : A.Key < B.Key;
                     });
  Answer.Items.resize(std::min(Answer.Items.size(), End));
  const auto SkipCount = std::min(Answer.Items.size(), Offset);
  Answer.Items.erase(Answer.Items.begin(),
                     Answer.Items.begin() +
                         static_cast<std::ptrdiff_t>(SkipCount));
  return Answer;
}

} // namespace tarragon::test
