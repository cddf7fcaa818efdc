#pragma once

#include "bench/core/audit.h"
#include "bench/core/cluster.h"
#include "bench/core/loadclient.h"

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

namespace tarragon::tests {

/// Paths of the programs under test.
struct program_paths {
  std::string Daemon;
  std::string Target;
  std::string Platform;
};

/// A small system of real processes: the platform, two services of three
/// replicas and three entries in three failure domains. Started on
/// construction, killed on destruction.
class running_system {
public:
  explicit running_system(const program_paths &Paths);
  ~running_system();

  auto cluster() -> bench::cluster & { return *Cluster; }
  auto loop() -> bench::event_loop & { return Loop; }

  /// Plays seeded load on \p Contract through callers that follow the caller
  /// protocol, and returns the results.
  auto play(const std::string &Contract, double PerSecond, milliseconds Length)
      -> std::vector<bench::call_record>;

  /// As play(), while \p Actions are carried out at their times after the
  /// start.
  auto
  playWith(const std::string &Contract, double PerSecond, milliseconds Length,
           std::vector<std::pair<milliseconds, std::function<void()>>> Actions)
      -> std::vector<bench::call_record>;

  /// Sends a request to the caller address of an entry. Returns the body of the
  /// answer, or null.
  auto call(std::size_t Entry, const std::string &Method,
            const std::string &Path, const std::string &Body = {},
            milliseconds Timeout = milliseconds(10000)) -> Json::Value;

  /// As call(); returns the HTTP status, 0 without an answer.
  auto status(std::size_t Entry, const std::string &Method,
              const std::string &Path, const std::string &Body = {},
              const std::vector<std::string> &Headers = {}) -> int;

  /// Requests a ticket from an entry.
  auto requestTicket(std::size_t Entry) -> std::string;

  /// Sends a non-repeatable request with \p Ticket and returns the answer.
  auto order(std::size_t Entry, const std::string &Ticket,
             const std::string &Body,
             milliseconds Timeout = milliseconds(10000)) -> Json::Value;

  /// Runs the event loop until \p Done returns true; returns false after
  /// \p Limit.
  auto waitUntil(const std::function<bool()> &Done, milliseconds Limit) -> bool;

  /// Returns how often targets started the request with \p Body.
  auto countRuns(const std::string &Body) -> std::size_t;

  /// Returns the violations in the answers and runs of \p Records.
  auto audit(const std::vector<bench::call_record> &Records)
      -> bench::invariant_violations;

private:
  std::string Folder;
  bench::event_loop Loop;
  std::unique_ptr<bench::cluster> Cluster;
  std::unique_ptr<bench::load_client> Client;
  std::uint64_t Windows = 0;
};

} // namespace tarragon::tests
