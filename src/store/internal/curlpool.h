#pragma once

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <vector>

namespace tarragon::store {

/// A thread-safe pool of idle libcurl handles. A pooled handle keeps its open
/// connections, which later calls reuse.
class curl_pool {
public:
  struct closer {
    auto operator()(CURL *Handle) const -> void;
  };
  using handle = std::unique_ptr<CURL, closer>;

  curl_pool();

  /// Returns a handle without options set; null if libcurl can't create one.
  auto acquire() -> handle;

  /// Resets the options of a handle and returns it to the pool.
  auto release(handle Handle) -> void;

private:
  std::mutex Lock; ///< a leaf: no other lock is acquired under it
  std::vector<handle> Idle;
};

} // namespace tarragon::store
