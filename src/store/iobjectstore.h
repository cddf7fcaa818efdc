#pragma once

#include "global/result.h"
#include "global/types/time.h"
#include "store/types/storedobject.h"
#include "store/types/watchreply.h"
#include "world/types/instance.h"

#include <concepts>
#include <string>
#include <vector>

namespace tarragon::store {

/// A synchronous client of the platform's object API. Failures: ObjectMissing,
/// ObjectConflict (the write took no effect), PlatformUnavailable (a write is
/// proven not to have been executed), ReplyLost (a write may have taken
/// effect).
template <class Store>
concept object_store = requires(Store &Platform, const std::string &Key,
                                const std::string &Value,
                                object_version Version, std::uint64_t Revision,
                                milliseconds Wait) {
  { Platform.get(Key) } -> std::same_as<result<stored_object>>;
  { Platform.put(Key, Value, Version) } -> std::same_as<result<object_version>>;
  { Platform.remove(Key, Version) } -> std::same_as<result<void>>;
  { Platform.list(Key) } -> std::same_as<result<std::vector<stored_object>>>;
  { Platform.watch(Key, Revision, Wait) } -> std::same_as<result<watch_reply>>;
  { Platform.instances() } -> std::same_as<result<std::vector<instance>>>;
};

} // namespace tarragon::store
