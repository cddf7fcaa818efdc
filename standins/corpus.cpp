#include "standins/corpus.h"

#include "global/hash.h"

#include <algorithm>
#include <cstdio>

namespace tarragon::standins {

auto corpusKey(const std::string_view Service, const std::size_t Number)
    -> std::string {
  char Digits[24];
  std::snprintf(Digits, sizeof Digits, "-%06zu", Number);
  return std::string(Service) + Digits;
}

auto corpusShard(const std::string_view Key, const std::size_t ShardCount)
    -> std::size_t {
  return hash64(Key) % ShardCount;
}

auto corpusScore(const std::string_view Key, const std::string_view Body,
                 const index_version Version) -> double {
  // With 20 bits, ties occur and a score's decimal text is exact.
  constexpr std::uint64_t ScoreSteps = 1U << 20U;
  std::string Text(Key);
  Text += Body;
  return static_cast<double>(hash64(Text, Version) % ScoreSteps) /
         static_cast<double>(ScoreSteps);
}

auto corpusBody(const index_version Version) -> std::string {
  return "v" + std::to_string(Version);
}

auto comesBefore(const item &Left, const item &Right) -> bool {
  if (Left.Score != Right.Score)
    return Left.Score > Right.Score;
  return Left.Key < Right.Key;
}

auto bestItems(const std::vector<std::string> &Keys,
               const std::string_view Body, const index_version Version,
               const std::size_t Limit) -> std::vector<item> {
  std::vector<item> Items;
  Items.reserve(Keys.size());
  for (const std::string &Key : Keys)
    Items.push_back({Key, corpusScore(Key, Body, Version), {}});
  const std::size_t Count =
      Limit == 0 ? Items.size() : std::min(Limit, Items.size());
  const auto End = Items.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Items.begin(), End, Items.end(), comesBefore);
  Items.erase(End, Items.end());
  for (item &Item : Items)
    Item.Body = corpusBody(Version);
  return Items;
}

auto shardKeys(const std::string_view Service, const std::size_t ItemCount,
               const std::size_t Shard, const std::size_t ShardCount)
    -> std::vector<std::string> {
  std::vector<std::string> Keys;
  for (std::size_t Number = 0; Number < ItemCount; ++Number) {
    std::string Key = corpusKey(Service, Number);
    if (corpusShard(Key, ShardCount) == Shard)
      Keys.push_back(std::move(Key));
  }
  return Keys;
}

auto parseVersions(const std::string_view Text) -> std::vector<held_version> {
  std::vector<held_version> Versions;
  std::size_t From = 0;
  while (From < Text.size()) {
    const std::size_t Comma = std::min(Text.find(',', From), Text.size());
    const std::string Part(Text.substr(From, Comma - From));
    From = Comma + 1;
    unsigned long Version = 0;
    unsigned long Shards = 0;
    if (std::sscanf(Part.c_str(), "%lu:%lu", &Version, &Shards) == 2 &&
        Shards > 0)
      Versions.push_back({Version, Shards});
  }
  return Versions;
}

} // namespace tarragon::standins
