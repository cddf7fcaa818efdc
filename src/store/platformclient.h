#pragma once

#include "store/iobjectstore.h"
#include "store/types/callcounts.h"
#include "store/types/clientsettings.h"
#include "store/types/roster.h"

#include <memory>

namespace tarragon::store {

/// Calls the platform's object API over HTTP, one exchange per call. Models
/// object_store. Thread-safe: concurrent calls use separate libcurl handles.
///
/// Failures in addition to those of object_store: BodyTooLarge (the value
/// exceeds the platform's limit) and Internal (any other status below 500).
/// PlatformUnavailable also covers rate limiting by the platform (429), an
/// exhausted call budget and an open circuit; its detail states which.
class platform_client {
public:
  /// \p Platform is "IP:port". \p Seed seeds the jitter of the circuit
  /// breaker's probes.
  platform_client(const address &Platform, client_settings Settings,
                  std::uint64_t Seed);
  ~platform_client();
  platform_client(const platform_client &) = delete;
  auto operator=(const platform_client &) -> platform_client & = delete;

  auto get(const std::string &Key) -> result<stored_object>;

  /// Writes the object if its current version is \p Expected; 0 creates it.
  /// Returns the new version.
  auto put(const std::string &Key, const std::string &Value,
           object_version Expected) -> result<object_version>;

  auto remove(const std::string &Key, object_version Expected) -> result<void>;
  auto list(const std::string &Prefix) -> result<std::vector<stored_object>>;

  /// Blocks until an object under \p Prefix has changed after \p Revision, but
  /// no longer than \p Wait.
  auto watch(const std::string &Prefix, std::uint64_t Revision,
             milliseconds Wait) -> result<watch_reply>;

  auto instances() -> result<std::vector<instance>>;

  /// Returns the instances and targets with one call.
  auto instanceRoster() -> result<roster>;

  /// Makes running and later watches fail with PlatformUnavailable within about
  /// one second. Used at shutdown; can't be undone.
  auto interruptWatches() -> void;

  /// Returns the call counters since the client was created, by kind.
  auto callCounts() const -> call_counts;

private:
  class http_calls;
  std::unique_ptr<http_calls> Calls;
};

static_assert(object_store<platform_client>);

} // namespace tarragon::store
