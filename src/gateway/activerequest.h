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

/// One request on its way: carries out what its plan decides. It holds the
/// version of the routes that was in force when it came.
class active_request : public std::enable_shared_from_this<active_request> {
public:
  struct origin {
    std::shared_ptr<caller_session> Session;
    caller_request Request;
    std::shared_ptr<const route::route_table> Table;
    const route::route *Route;
  };

  active_request(gateway &Gateway, origin Origin, placement::request_plan Plan,
                 time_point Deadline);

  auto begin() -> void;

private:
  struct exchange {
    std::shared_ptr<http_connection> Connection;
    std::string Target;
    exchange_answer Answer;
    placement::attempt_end End = placement::attempt_end::Abandoned;
    bool GivenUp = false; ///< its answer no longer counts
    bool Unsent = false;  ///< given up before a byte was sent
  };

  auto perform(const placement::plan_actions &Actions) -> void;
  auto send(const placement::send_attempt &Action) -> void;
  auto cancel(placement::attempt_key Key, bool CallerGone) -> void;
  auto onEnded(placement::attempt_key Key, exchange_end End,
               exchange_answer Answer) -> void;
  auto classify(exchange_end End, const exchange_answer &Answer) const
      -> placement::attempt_end;
  auto onCallerGone() -> void;
  auto schedule() -> void;
  auto finish(placement::finish_plan Finish) -> void;
  auto nothingWasSent() const -> bool;
  auto answerOf(const placement::finish_plan &Finish) -> caller_answer;
  auto merged() -> caller_answer;
  auto passedOn(const exchange_answer &Answer) const -> caller_answer;
  auto requestBytes(const route::target_entry &Target, time_point Now) const
      -> std::string;
  auto noteBroken(const std::string &Target) -> void;
  auto missingParts() const -> std::string;
  auto attemptsText() const -> std::string;
  auto report(const placement::finish_plan &Finish, const caller_answer &Answer)
      -> void;

  gateway &Gateway;
  origin Origin;
  placement::request_plan Plan;
  time_point Deadline;
  std::string Id;
  std::string CommonHead; ///< of the request as it goes to every target
  std::map<placement::attempt_key, exchange> Exchanges;
  boost::asio::steady_timer Timer;
  bool TimerSet = false;
  std::uint64_t Fingerprint;
};

} // namespace tarragon::gateway
