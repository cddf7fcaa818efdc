#pragma once

#include "world/types/heldversion.h"
#include "world/types/item.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::standins {

/// The rule every target stand-in answers by, so that a reference can compute
/// the right answer to any request on its own.

/// The key of item \p Number of \p Service: "<service>-<number, 6 digits>".
auto corpusKey(std::string_view Service, std::size_t Number) -> std::string;

/// The shard that holds \p Key when there are \p ShardCount shards.
auto corpusShard(std::string_view Key, std::size_t ShardCount) -> std::size_t;

/// The score of \p Key for the request body \p Body: 0 up to below 1.
auto corpusScore(std::string_view Key, std::string_view Body,
                 index_version Version) -> double;

/// The body of every item of \p Version: "v<version>".
auto corpusBody(index_version Version) -> std::string;

/// Whether \p Left comes before \p Right: higher score first, ties by key.
auto comesBefore(const item &Left, const item &Right) -> bool;

/// The best \p Limit of \p Keys (all when 0) for \p Body, best first.
auto bestItems(const std::vector<std::string> &Keys, std::string_view Body,
               index_version Version, std::size_t Limit) -> std::vector<item>;

/// The keys of one shard of a corpus of \p ItemCount items.
auto shardKeys(std::string_view Service, std::size_t ItemCount,
               std::size_t Shard, std::size_t ShardCount)
    -> std::vector<std::string>;

/// Reads "7:3,8:6", versions with their shard counts; bad parts are left out.
auto parseVersions(std::string_view Text) -> std::vector<held_version>;

} // namespace tarragon::standins
