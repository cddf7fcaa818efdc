#pragma once

#include "standins/httpserver.h"
#include "standins/platform/objectstore.h"
#include "standins/platform/ratelimit.h"
#include "standins/timerqueue.h"

#include <json/value.h>

#include <map>
#include <mutex>

namespace tarragon::standins {

struct platform_settings {
  address Listen;
  int Threads = 2;
  double WritesPerSecond = 0; ///< 0 is any
  double ReadsPerSecond = 0;
};

/// Serves docs/PROTOCOLS.md "Entry to platform", and /control beside it.
class platform_server {
public:
  explicit platform_server(platform_settings Settings);

  auto start() -> bool;

private:
  enum class down_kind { Up, Unavailable, Closing };

  struct faults {
    down_kind Down = down_kind::Up;
    milliseconds Delay{0};
    int DropReplyEvery = 0; ///< of writes that took effect; 0 is never
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
  std::uint64_t Writes = 0; ///< that took effect
  std::map<std::string, std::uint64_t> Counters;
  std::string Instances = R"({"instances":[],"targets":[]})";
  timer_queue Timers;
  http_server Server;
};

} // namespace tarragon::standins
