#include "store/internal/curlpool.h"

namespace tarragon::store {

namespace {

constexpr std::size_t MaxIdleHandles = 8;

} // namespace

auto curl_pool::closer::operator()(CURL *const Handle) const -> void {
  curl_easy_cleanup(Handle);
}

curl_pool::curl_pool() {
  static const CURLcode InitCode = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(InitCode);
}

auto curl_pool::acquire() -> handle {
  const std::lock_guard Guard(Lock);
  if (Idle.empty())
    return handle(curl_easy_init());
  handle Handle = std::move(Idle.back());
  Idle.pop_back();
  return Handle;
}

auto curl_pool::release(handle Handle) -> void {
  curl_easy_reset(Handle.get());
  const std::lock_guard Guard(Lock);
  if (Idle.size() < MaxIdleHandles)
    Idle.push_back(std::move(Handle));
}

} // namespace tarragon::store
