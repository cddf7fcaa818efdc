#pragma once

#include "gateway/httpconnection.h"
#include "gateway/types/callerrequest.h"
#include "placement/requestplan.h"
#include "route/routetable.h"

#include <map>
#include <memory>

namespace tarragon::gateway {

class caller_session;
class gateway;

/// A request in flight: executes the actions that its plan decides on. It keeps
/// the version of the routes that was in force when it was received.
class active_request : public std::enable_shared_from_this<active_request> {
public:
  struct origin {
    std::shared_ptr<caller_session> Session;
    caller_request Request;
    std::shared_ptr<const route::route_table> Table;
    const route::route *Route;
    const route::account *Account = nullptr; ///< of Table's version, or null
  };

  active_request(gateway &Gateway, origin Origin, placement::request_plan Plan,
                 time_point Deadline);

  /// Starts the plan; calls gateway::release() when the request has ended.
  auto begin() -> void;

  /// Brings the deadline forward by \p Span, in which the machine was
  /// suspended, and ends the request if it has passed.
  auto shorten(milliseconds Span) -> void;

  /// Answers the request now, as the instance stops.
  auto endNow() -> void;

  /// Returns the account that the request belongs to, or null.
  auto account() const -> const route::account * { return Origin.Account; }
  /// Returns whether no attempt can have run.
  auto isProvenNotRun() const -> bool;

private:
  struct exchange {
    std::shared_ptr<http_connection> Connection;
    std::string Target;
    exchange_answer Answer;
    placement::attempt_end End = placement::attempt_end::Abandoned;
    bool IsAbandoned = false;     ///< its answer is ignored
    std::int64_t StartedAtMs = 0; ///< start of the target's incarnation
    time_point SentAt;
    bool IsUnsent = false; ///< abandoned before a byte was sent
  };

  auto perform(const placement::plan_actions &Actions) -> void;
  auto send(const placement::send_attempt &Action) -> void;
  auto cancel(placement::attempt_key Key, bool CallerDisconnected) -> void;
  auto onEnded(placement::attempt_key Key, exchange_end End,
               exchange_answer Answer) -> void;
  auto classify(exchange_end End, const exchange_answer &Answer) const
      -> placement::attempt_end;
  auto onCallerDisconnected() -> void;
  auto schedule() -> void;
  auto finish(placement::finish_plan Finish) -> void;
  auto makeAnswer(const placement::finish_plan &Finish) -> caller_answer;
  auto mergedAnswer() -> caller_answer;
  auto forwardedAnswer(const exchange_answer &Answer) const -> caller_answer;
  auto requestBytes(const route::target_entry &Target, time_point Now) const
      -> std::string;
  auto onBrokenRun(const exchange &Exchange) -> void;
  auto missingParts() const -> std::string;
  auto attemptsText() const -> std::string;
  auto report(const placement::finish_plan &Finish, const caller_answer &Answer)
      -> void;

  gateway &Gateway;
  origin Origin;
  placement::request_plan Plan;
  time_point Deadline;
  std::string Id;
  std::string CommonHead; ///< request line and headers sent to all targets
  std::map<placement::attempt_key, exchange> Exchanges;
  boost::asio::steady_timer Timer;
  bool TimerSet = false;
  std::uint64_t Fingerprint;
};

} // namespace tarragon::gateway
