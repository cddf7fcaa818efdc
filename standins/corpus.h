#pragma once

#include "world/types/heldversion.h"
#include "world/types/item.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::standins {

/// The synthetic corpus that target stand-ins serve. It is a pure function of
/// the request, so that a test can compute the expected answer independently.

/// Returns the key of item \p Number of \p Service: "<service>-<number, 6
/// digits>".
auto corpusKey(std::string_view Service, std::size_t Number) -> std::string;

/// Returns the shard that holds \p Key when there are \p ShardCount shards.
auto corpusShard(std::string_view Key, std::size_t ShardCount) -> std::size_t;

/// Returns the score of \p Key for the request body \p Body, in [0, 1).
auto corpusScore(std::string_view Key, std::string_view Body,
                 index_version Version) -> double;

/// Returns the body of every item of \p Version: "v<version>".
auto corpusBody(index_version Version) -> std::string;

/// Returns whether \p Left ranks before \p Right: by descending score, ties by
/// ascending key.
auto comesBefore(const item &Left, const item &Right) -> bool;

/// Returns the \p Limit highest-ranked items of \p Keys (all if 0) for \p Body,
/// in rank order.
auto bestItems(const std::vector<std::string> &Keys, std::string_view Body,
               index_version Version, std::size_t Limit) -> std::vector<item>;

/// Returns the keys of one shard of a corpus of \p ItemCount items.
auto shardKeys(std::string_view Service, std::size_t ItemCount,
               std::size_t Shard, std::size_t ShardCount)
    -> std::vector<std::string>;

/// Parses a list of versions with their shard counts such as "7:3,8:6".
/// Malformed entries are skipped.
auto parseVersions(std::string_view Text) -> std::vector<held_version>;

} // namespace tarragon::standins
