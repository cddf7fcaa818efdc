#pragma once

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <vector>

namespace tarragon::store {

/// Keeps idle libcurl handles, and with them their open connections.
class curl_pool {
public:
  struct closer {
    auto operator()(CURL *Handle) const -> void;
  };
  using handle = std::unique_ptr<CURL, closer>;

  curl_pool();

  /// A handle without options; null when libcurl gives none.
  auto take() -> handle;

  /// Puts a handle back for the next call.
  auto giveBack(handle Handle) -> void;

private:
  std::mutex Lock; ///< a leaf: no other lock is taken under it
  std::vector<handle> Idle;
};

} // namespace tarragon::store
