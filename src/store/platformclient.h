#pragma once

#include "store/iobjectstore.h"
#include "store/types/callcounts.h"
#include "store/types/clientsettings.h"
#include "store/types/roster.h"

#include <memory>

namespace tarragon::store {

/// Calls the platform's object API over HTTP, one exchange a call; a model of
/// object_store. Thread-safe: calls run side by side on handles of their own.
///
/// Failures beside those of object_store: BodyTooLarge (a value over the
/// platform's limit). PlatformUnavailable also stands for a rate limit (429),
/// a budget used up and an open circuit; its detail says which.
class platform_client {
public:
  /// \p Platform is "IP:port". \p Seed draws the jitter of the circuit.
  platform_client(const address &Platform, client_settings Settings,
                  std::uint64_t Seed);
  ~platform_client();
  platform_client(const platform_client &) = delete;
  auto operator=(const platform_client &) -> platform_client & = delete;

  auto get(const std::string &Key) -> result<stored_object>;

  /// Writes when the present version is \p Expected; 0 creates.
  auto put(const std::string &Key, const std::string &Value,
           object_version Expected) -> result<object_version>;

  auto remove(const std::string &Key, object_version Expected) -> result<void>;
  auto list(const std::string &Prefix) -> result<std::vector<stored_object>>;

  /// Returns when something under \p Prefix changed after \p Revision, at the
  /// latest after \p Wait.
  auto watch(const std::string &Prefix, std::uint64_t Revision,
             milliseconds Wait) -> result<watch_reply>;

  auto instances() -> result<std::vector<instance>>;

  /// Instances and targets in one call.
  auto instanceRoster() -> result<roster>;

  /// Makes watches, under way and later ones, fail with PlatformUnavailable
  /// within about a second. For the end of the process.
  auto interruptWatches() -> void;

  /// Calls since the start, by kind.
  auto callCounts() const -> call_counts;

private:
  class http_calls;
  std::unique_ptr<http_calls> Calls;
};

static_assert(object_store<platform_client>);

} // namespace tarragon::store
