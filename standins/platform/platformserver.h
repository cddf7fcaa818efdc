#pragma once

#include "standins/httpserver.h"
#include "standins/platform/objectstore.h"
#include "standins/platform/ratelimit.h"
#include "standins/timerqueue.h"

#include <json/value.h>

#include <map>
#include <mutex>

namespace tarragon::standins {

/// Settings of the platform stand-in, one per flag.
struct platform_settings {
  address Listen;
  int Threads = 2;
  double WritesPerSecond = 0; ///< 0 for no limit
  double ReadsPerSecond = 0;  ///< 0 for no limit
};

/// Serves the protocol "Entry to platform" of docs/PROTOCOLS.md, and /control
/// for tests.
class platform_server {
public:
  explicit platform_server(platform_settings Settings);

  /// Returns false if it cannot listen on the address.
  auto start() -> bool;

private:
  enum class outage_kind { None, Unavailable, Closing };

  struct faults {
    outage_kind Down = outage_kind::None;
    milliseconds Delay{0};
    int DropReplyEvery = 0; ///< successful writes per lost reply; 0: none
    milliseconds DropHold{100};
  };

  struct waiter {
    std::string Prefix;
    std::uint64_t After = 0;
    http_reply Reply;
  };

  auto receive(const http_request &Request, const http_reply &Reply) -> void;
  auto serve(const http_request &Request, const http_reply &Reply) -> void;
  auto control(const http_request &Request, const http_reply &Reply) -> void;
  auto serveObject(const http_request &Request, const http_reply &Reply)
      -> void;
  auto serveWrite(const http_request &Request, const std::string &Key,
                  const http_reply &Reply) -> void;
  auto serveWatch(const http_request &Request, const http_reply &Reply) -> void;
  auto setInstances(const Json::Value &Body) -> void;
  auto setFaults(const Json::Value &Body) -> void;
  auto counters() const -> Json::Value;
  auto answerWaiters(const std::string &Key) -> void;
  auto expireWaiter(std::uint64_t Number) -> void;
  auto watchAnswer(const std::string &Prefix, std::uint64_t After) const
      -> std::string;

  platform_settings Settings;
  std::mutex Mutex; // rank: outermost of this program
  object_store Store;
  rate_limit WriteLimit;
  rate_limit ReadLimit;
  faults Faults;
  std::map<std::uint64_t, waiter> Waiters;
  std::uint64_t NextWaiter = 0;
  std::uint64_t Writes = 0; ///< successful ones
  std::map<std::string, std::uint64_t> Counters;
  std::string Instances = R"({"instances":[],"targets":[]})";
  timer_queue Timers;
  http_server Server;
};

} // namespace tarragon::standins
