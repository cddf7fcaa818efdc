#include "query/internal/queryplan.h"

#include "global/hash.h"

namespace tarragon::query {

namespace {

auto makePart(const service &Service, const std::size_t Shard,
              const std::size_t ShardCount, const std::uint32_t Try)
    -> query_part {
  query_part Part;
  Part.Service = Service.Id;
  Part.Group = Service.groupOf(Shard).Id;
  Part.Shard = Shard;
  Part.ShardCount = ShardCount;
  Part.Try = Try;
  return Part;
}

} // namespace

auto planParts(const deployment &Deployment, const contract &Contract,
               const std::string &Key, const pinned_snapshot &Snapshot,
               const std::uint32_t FirstTry) -> std::vector<query_part> {
  std::vector<query_part> Parts;
  for (const service_id &Id : Contract.Services) {
    const service *const Service = Deployment.findService(Id);
    if (Service == nullptr || Service->Groups.empty())
      return {};
    const std::size_t Count = Snapshot.ShardCounts.at(Id);
    if (Contract.Merge == merge_kind::ByKey) {
      Parts.push_back(makePart(*Service, hash64(Key) % Count, Count, FirstTry));
      continue;
    }
    for (std::size_t Shard = 0; Shard < Count; ++Shard)
      Parts.push_back(makePart(*Service, Shard, Count, FirstTry));
  }
  return Parts;
}

} // namespace tarragon::query
