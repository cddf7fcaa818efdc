#include "store/platformclient.h"

#include "store/callbudget.h"
#include "store/circuitbreaker.h"
#include "store/httpexchange.h"
#include "store/internal/curlpool.h"
#include "store/internal/platformjson.h"

#include <atomic>
#include <mutex>

namespace tarragon::store {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerError = 500;

auto clockNow() -> time_point { return std::chrono::steady_clock::now(); }

auto methodOf(const call_kind Kind) -> const char * {
  switch (Kind) {
  case call_kind::Put:
    return "PUT";
  case call_kind::Remove:
    return "DELETE";
  case call_kind::Get:
  case call_kind::List:
  case call_kind::Watch:
  case call_kind::Instances:
    return "GET";
  }
  return "GET";
}

/// Returns the failure for a call that may have reached the platform but got
/// no usable reply: a write may have taken effect.
auto makeReplyFailure(const bool Write, const std::string &Cause) -> failure {
  if (Write)
    return fail(result_code::ReplyLost,
                "The platform's reply to a write was lost: " + Cause);
  return fail(result_code::PlatformUnavailable,
              "The platform sent no usable reply: " + Cause);
}

auto makeStatusFailure(const bool Write, const int Status) -> failure {
  const std::string Text = "status " + std::to_string(Status);
  if (Status == StatusNotFound)
    return fail(result_code::ObjectMissing, "The object doesn't exist");
  if (Status == StatusConflict)
    return fail(result_code::ObjectConflict,
                "The object's version is not the expected one");
  if (Status == StatusPayloadTooLarge)
    return fail(result_code::BodyTooLarge,
                "The value exceeds the platform's size limit");
  if (Status == StatusTooManyRequests)
    return fail(result_code::PlatformUnavailable,
                "The platform rejected the call: rate limit (429)");
  if (Status >= FirstServerError)
    return makeReplyFailure(Write, Text);
  return fail(result_code::Internal, "The platform rejected the call: " + Text);
}

/// Returns whether the reply shows that the platform works. Client errors
/// count as healthy, except for rate limiting.
auto isHealthy(const exchange_reply &Reply) -> bool {
  return Reply.State == exchange_state::Replied &&
         Reply.Status < FirstServerError &&
         Reply.Status != StatusTooManyRequests;
}

} // namespace

/// Sends calls within the rate budgets and the circuit breaker; counts them.
class platform_client::http_calls {
public:
  http_calls(const address &Platform, const client_settings &Settings,
             const std::uint64_t Seed)
      : BaseUrl("http://" + Platform + "/v1/"), Settings(Settings),
        ReadBudget(Settings.ReadsPerSecond,
                   Settings.ReadsPerSecond * Settings.BurstSeconds, clockNow()),
        WriteBudget(Settings.WritesPerSecond,
                    Settings.WritesPerSecond * Settings.BurstSeconds,
                    clockNow()),
        Breaker(Settings.FailureThreshold, Settings.OpenTime, Seed) {}

  /// Returns the body of a reply with status 200, or the failure.
  auto call(call_kind Kind, const std::string &Path, std::string Body = {},
            milliseconds ExtraWait = milliseconds{0}) -> result<std::string>;

  auto interruptWatches() -> void { Interrupted = true; }

  auto counts() const -> call_counts {
    const std::lock_guard Guard(Lock);
    return Counts;
  }

private:
  auto admit(call_kind Kind) -> result<void>;
  auto record(call_kind Kind, const exchange_reply &Reply) -> void;

  std::string BaseUrl;
  client_settings Settings;
  curl_pool Pool;
  std::atomic<bool> Interrupted = false;
  mutable std::mutex Lock; ///< a leaf: no other lock is acquired under it
  call_budget ReadBudget;
  call_budget WriteBudget;
  circuit_breaker Breaker;
  call_counts Counts;
};

auto platform_client::http_calls::admit(const call_kind Kind) -> result<void> {
  const std::lock_guard Guard(Lock);
  const time_point Now = clockNow();
  call_budget &Budget = isWrite(Kind) ? WriteBudget : ReadBudget;
  if (!Budget.tryAcquire(Now)) {
    ++Counts.of(Kind).Suppressed;
    return fail(result_code::PlatformUnavailable,
                "The budget of platform calls is exhausted");
  }
  if (!Breaker.allow(Now)) {
    ++Counts.of(Kind).Suppressed;
    return fail(result_code::PlatformUnavailable,
                "The circuit breaker is open after failed platform calls");
  }
  ++Counts.of(Kind).Sent;
  return succeed();
}

auto platform_client::http_calls::record(const call_kind Kind,
                                         const exchange_reply &Reply) -> void {
  const std::lock_guard Guard(Lock);
  if (isHealthy(Reply)) {
    Breaker.recordSuccess();
    return;
  }
  ++Counts.of(Kind).Failed;
  Breaker.recordFailure(clockNow());
}

auto platform_client::http_calls::call(const call_kind Kind,
                                       const std::string &Path,
                                       std::string Body,
                                       const milliseconds ExtraWait)
    -> result<std::string> {
  const bool Write = isWrite(Kind);
  if (auto Admitted = admit(Kind); !Admitted)
    return Admitted.error();
  auto Handle = Pool.acquire();
  if (!Handle)
    return fail(result_code::PlatformUnavailable,
                "libcurl can't create a handle");
  exchange_request Request;
  Request.Method = methodOf(Kind);
  Request.Url = BaseUrl + Path;
  Request.Body = std::move(Body);
  Request.Write = Write;
  Request.ConnectTimeout = Settings.ConnectTimeout;
  Request.Timeout = Settings.CallTimeout + ExtraWait;
  if (Kind == call_kind::Watch)
    Request.Interrupted = &Interrupted;
  auto Reply = runExchange(Handle.get(), Request);
  Pool.release(std::move(Handle));
  record(Kind, Reply);
  if (Reply.State == exchange_state::NotSent)
    return fail(result_code::PlatformUnavailable,
                "The platform can't be reached: " + Reply.Error);
  if (Reply.State == exchange_state::NoReply)
    return makeReplyFailure(Write, Reply.Error);
  if (Reply.Status != StatusOk)
    return makeStatusFailure(Write, Reply.Status);
  return std::move(Reply.Body);
}

platform_client::platform_client(const address &Platform,
                                 const client_settings Settings,
                                 const std::uint64_t Seed)
    : Calls(std::make_unique<http_calls>(Platform, Settings, Seed)) {}

platform_client::~platform_client() = default;

auto platform_client::get(const std::string &Key) -> result<stored_object> {
  auto Body = Calls->call(call_kind::Get, "objects/" + Key);
  if (!Body)
    return Body.error();
  if (auto Object = readObject(Body.value()))
    return std::move(*Object);
  return makeReplyFailure(false, "unreadable body");
}

auto platform_client::put(const std::string &Key, const std::string &Value,
                          const object_version Expected)
    -> result<object_version> {
  auto Body = Calls->call(
      call_kind::Put,
      "objects/" + Key + "?if_version=" + std::to_string(Expected), Value);
  if (!Body)
    return Body.error();
  if (const auto Version = readVersion(Body.value()))
    return *Version;
  return makeReplyFailure(true, "unreadable body");
}

auto platform_client::remove(const std::string &Key,
                             const object_version Expected) -> result<void> {
  auto Body =
      Calls->call(call_kind::Remove,
                  "objects/" + Key + "?if_version=" + std::to_string(Expected));
  if (!Body)
    return Body.error();
  return succeed();
}

auto platform_client::list(const std::string &Prefix)
    -> result<std::vector<stored_object>> {
  auto Body = Calls->call(call_kind::List, "list?prefix=" + Prefix);
  if (!Body)
    return Body.error();
  if (auto Objects = readObjects(Body.value()))
    return std::move(*Objects);
  return makeReplyFailure(false, "unreadable body");
}

auto platform_client::watch(const std::string &Prefix,
                            const std::uint64_t Revision,
                            const milliseconds Wait) -> result<watch_reply> {
  auto Body = Calls->call(call_kind::Watch,
                          "watch?prefix=" + Prefix +
                              "&after=" + std::to_string(Revision) +
                              "&wait_ms=" + std::to_string(Wait.count()),
                          {}, Wait);
  if (!Body)
    return Body.error();
  if (auto Reply = readWatch(Body.value()))
    return std::move(*Reply);
  return makeReplyFailure(false, "unreadable body");
}

auto platform_client::instances() -> result<std::vector<instance>> {
  auto Roster = instanceRoster();
  if (!Roster)
    return Roster.error();
  return std::move(Roster.value().Instances);
}

auto platform_client::instanceRoster() -> result<roster> {
  auto Body = Calls->call(call_kind::Instances, "instances");
  if (!Body)
    return Body.error();
  if (auto Roster = readRoster(Body.value()))
    return std::move(*Roster);
  return makeReplyFailure(false, "unreadable body");
}

auto platform_client::interruptWatches() -> void { Calls->interruptWatches(); }

auto platform_client::callCounts() const -> call_counts {
  return Calls->counts();
}

} // namespace tarragon::store
