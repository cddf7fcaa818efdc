#include "entry/targetclient.h"

#include "global/json.h"
#include "world/types/accountheaders.h"

#include <json/json.h>

namespace tarragon::entry {

namespace {

using admission::attempt_result;
using transport::call_end;

/// Added to the deadline to get the call's timeout: a target reports an expired
/// deadline shortly after it.
constexpr milliseconds ReplyGrace{20};
constexpr milliseconds CancelTimeout{200};

auto encodeRunRequest(const attempt_id &Attempt, const subrequest &Request)
    -> std::string {
  Json::Value Body;
  Body["attempt"] = Attempt;
  Body["contract"] = Request.Contract;
  Body["service"] = Request.Service;
  Body["shard"] = Json::UInt64{Request.Shard};
  Body["shards"] = Json::UInt64{Request.ShardCount};
  Body["version"] = Json::UInt64{Request.Version};
  Body["limit"] = Json::UInt64{Request.Limit};
  Body["repeatable"] = Request.Repeatable;
  Body["body"] = Request.Body;
  return writeJson(Body);
}

auto readHeldVersions(const Json::Value &Value) -> std::vector<held_version> {
  std::vector<held_version> Held;
  for (const Json::Value &Entry : Value)
    Held.push_back({Entry["version"].asUInt64(), Entry["shards"].asUInt64()});
  return Held;
}

auto readItemList(const Json::Value &Value) -> std::vector<item> {
  std::vector<item> Items;
  Items.reserve(Value.size());
  for (const Json::Value &Entry : Value)
    Items.push_back({Entry["key"].asString(), Entry["score"].asDouble(),
                     Entry["body"].asString()});
  return Items;
}

/// Parses a 200 reply. A truncated reply, or one to another attempt, version or
/// shard, is Corrupt.
auto readAnswered(const Json::Value &Body, const subrequest &Request,
                  attempt_result Result) -> attempt_result {
  Result.Outcome = attempt_outcome::Corrupt;
  if (Body["attempt"].asString() != Result.Attempt)
    return Result;
  Result.Version = Body["version"].asUInt64();
  Result.Shard = Body["shard"].asUInt64();
  Result.ShardCount = Body["shards"].asUInt64();
  const bool Echoed = Result.Version == Request.Version &&
                      Result.Shard == Request.Shard &&
                      Result.ShardCount == Request.ShardCount;
  if (!Echoed)
    return Result;
  if (!Body["items"].isArray() ||
      Body["count"].asUInt64() != Body["items"].size())
    return Result;
  Result.Items = readItemList(Body["items"]);
  Result.Held = readHeldVersions(Body["held"]);
  Result.Outcome = attempt_outcome::Answered;
  return Result;
}

auto readRefusal(const int Status, const Json::Value &Body,
                 attempt_result Result) -> attempt_result {
  const std::string Error = Body["error"].asString();
  Result.Outcome = attempt_outcome::Refused;
  if (Status == 409 && Error == "wrong_version") {
    Result.Outcome = attempt_outcome::WrongVersion;
    Result.Held = readHeldVersions(Body["held"]);
  } else if (Status == 503 && Error == "shed") {
    Result.Outcome = attempt_outcome::Shed;
  } else if (Status == 503 && Error == "leaving") {
    Result.Outcome = attempt_outcome::Leaving;
  } else if (Status == 504 && Error == "expired") {
    Result.Outcome = attempt_outcome::NotRun;
  } else if (Status == 499) {
    Result.Outcome = attempt_outcome::Expired;
  }
  return Result;
}

auto readHttpReply(const subrequest &Request,
                   const transport::http_reply &Reply, attempt_result Result)
    -> attempt_result {
  Result.Outcome = attempt_outcome::Corrupt;
  const auto Body = parseJson(Reply.Body);
  if (!Body)
    return Result;
  try {
    if (Reply.Status == 200)
      return readAnswered(Body.value(), Request, std::move(Result));
    return readRefusal(Reply.Status, Body.value(), std::move(Result));
  } catch (const Json::Exception &) {
    return Result;
  }
}

} // namespace

target_client::target_client(instance_id Self)
    : Self(std::move(Self)), Client(transport::http_client_settings{}) {}

auto target_client::start(const admission::start_attempt &Start,
                          completion Done) -> void {
  // Checked right before sending: the process may have been paused since the
  // dispatcher started the attempt.
  const time_point Now = std::chrono::steady_clock::now();
  if (Now >= Start.Request.Deadline)
    return Done(
        {.Attempt = Start.Attempt, .Outcome = attempt_outcome::NotSent});
  const auto TimeLeft =
      std::chrono::ceil<milliseconds>(Start.Request.Deadline - Now);
  transport::http_call Call;
  Call.To = Start.Target.Address;
  Call.Path = "/v1/run";
  Call.Headers = {std::string(transport::EchoHeader) + ": " + Start.Attempt,
                  "X-Tarragon-Deadline-Ms: " + std::to_string(TimeLeft.count()),
                  "X-Tarragon-Instance: " + Self};
  if (!Start.Request.Account.empty())
    Call.Headers.push_back(
        std::string(AccountHeader).append(": ").append(Start.Request.Account));
  Call.Body = encodeRunRequest(Start.Attempt, Start.Request);
  Call.Timeout = TimeLeft + ReplyGrace;
  Call.FreshConnection = !Start.Request.Repeatable;
  Call.NeverResend = true;
  Call.ExpectedEcho = Start.Attempt;
  Client.start(std::move(Call),
               [Attempt = Start.Attempt, Request = Start.Request,
                Done = std::move(Done)](const transport::http_reply &Reply) {
                 Done(readAttemptReply(Attempt, Request, Reply));
               });
}

auto target_client::cancel(const admission::cancel_attempt &Cancel) -> void {
  transport::http_call Call;
  Call.Method = "DELETE";
  Call.To = Cancel.Target.Address;
  Call.Path = "/v1/run/" + Cancel.Attempt;
  Call.Timeout = CancelTimeout;
  Client.start(std::move(Call), [](const transport::http_reply &) {});
}

auto target_client::setMaxConnections(const long PerTarget) -> void {
  Client.setMaxConnections(PerTarget);
}

auto target_client::connectionsOpened() const -> std::uint64_t {
  return Client.connectionsOpened();
}

auto readAttemptReply(const attempt_id &Attempt, const subrequest &Request,
                      const transport::http_reply &Reply)
    -> admission::attempt_result {
  attempt_result Result;
  Result.Attempt = Attempt;
  switch (Reply.End) {
  case call_end::Replied:
    return readHttpReply(Request, Reply, std::move(Result));
  case call_end::NotSent:
    Result.Outcome = attempt_outcome::NotSent;
    return Result;
  case call_end::ClosedBeforeReply:
    Result.Outcome = attempt_outcome::Crashed;
    return Result;
  case call_end::ClosedDuringReply:
  case call_end::Mismatched:
    Result.Outcome = attempt_outcome::Corrupt;
    return Result;
  case call_end::TimedOut:
    Result.Outcome = attempt_outcome::Expired;
    return Result;
  }
  return Result;
}

} // namespace tarragon::entry
