#define BOOST_TEST_MODULE standins
#include <boost/test/unit_test.hpp>

#include "standins/corpus.h"

#include <algorithm>
#include <set>

using namespace tarragon;
using namespace tarragon::standins;

namespace {

constexpr std::size_t ItemCount = 300;

} // namespace

BOOST_AUTO_TEST_SUITE(corpus)

BOOST_AUTO_TEST_CASE(every_key_is_on_exactly_one_shard) {
  for (const std::size_t ShardCount : {1, 2, 3, 7}) {
    std::set<std::string> Seen;
    for (std::size_t Shard = 0; Shard < ShardCount; ++Shard)
      for (const std::string &Key :
           shardKeys("petals", ItemCount, Shard, ShardCount))
        BOOST_TEST(Seen.insert(Key).second);
    BOOST_TEST(Seen.size() == ItemCount);
  }
}

BOOST_AUTO_TEST_CASE(merged_shards_give_the_items_of_the_whole_corpus) {
  constexpr std::size_t Limit = 10;
  const auto Whole =
      bestItems(shardKeys("petals", ItemCount, 0, 1), "roses", 7, Limit);
  std::vector<item> Merged;
  for (std::size_t Shard = 0; Shard < 3; ++Shard) {
    const auto Items =
        bestItems(shardKeys("petals", ItemCount, Shard, 3), "roses", 7, Limit);
    Merged.insert(Merged.end(), Items.begin(), Items.end());
  }
  std::sort(Merged.begin(), Merged.end(), comesBefore);
  Merged.resize(Limit);
  BOOST_TEST((Merged == Whole));
}

BOOST_AUTO_TEST_CASE(scores_depend_on_version_and_body) {
  const auto Keys = shardKeys("petals", ItemCount, 0, 1);
  const auto Old = bestItems(Keys, "roses", 7, 10);
  BOOST_TEST((Old == bestItems(Keys, "roses", 7, 10)));
  BOOST_TEST((Old != bestItems(Keys, "roses", 8, 10)));
  BOOST_TEST((Old != bestItems(Keys, "ferns", 7, 10)));
  BOOST_TEST(Old.front().Body == "v7");
  BOOST_TEST(bestItems(Keys, "roses", 7, 0).size() == ItemCount);
}

BOOST_AUTO_TEST_CASE(malformed_versions_are_skipped) {
  const std::vector<held_version> Expected{{7, 3}, {8, 6}};
  BOOST_TEST((parseVersions("7:3,8:6") == Expected));
  BOOST_TEST((parseVersions("7:3,x,9:0,8:6,") == Expected));
  BOOST_TEST(parseVersions("").empty());
}

BOOST_AUTO_TEST_SUITE_END()
