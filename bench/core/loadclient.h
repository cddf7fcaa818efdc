#pragma once

#include "bench/core/callrecord.h"
#include "bench/core/eventloop.h"
#include "bench/core/topology.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::bench {

struct load_settings {
  std::size_t Callers = 12; ///< spread over the failure domains
  milliseconds Timeout{3000};
  int MostSends = 3; ///< of one request, over different instances
  bool ResendUnanswered = true;
};

/// Callers as users have them: each keeps its address answer for the lifetime
/// given, and goes on to the next address when one fails.
class load_client {
public:
  load_client(event_loop &Loop, const topology &Topology,
              load_settings Settings);

  /// Fetches every caller's addresses; false when none could be had.
  auto prime() -> bool;

  /// Plays \p Calls from now on and waits for all answers.
  auto play(const std::vector<scheduled_call> &Calls)
      -> std::vector<call_record>;

  /// Starts playing only; \p Records is filled while the loop runs.
  auto begin(const std::vector<scheduled_call> &Calls, time_point Start,
             std::vector<call_record> &Records) -> void;

private:
  struct caller {
    failure_domain Domain;
    std::vector<address> Addresses;
    time_point Expires;
    bool Asking = false;
    std::deque<std::string> Tickets;
    bool AskingTickets = false;
  };

  struct flight;

  auto refresh(caller &Caller, std::size_t Try) -> void;
  auto refillTickets(caller &Caller) -> void;
  auto submit(const std::shared_ptr<flight> &Flight) -> void;
  auto send(const std::shared_ptr<flight> &Flight) -> void;
  auto receive(const std::shared_ptr<flight> &Flight, const http_answer &Answer)
      -> void;

  event_loop &Loop;
  load_settings Settings;
  std::vector<address> Known; ///< where to ask when nothing else is left
  std::vector<caller> Callers;
  std::size_t NextCaller = 0;
  std::size_t Open = 0;
};

} // namespace tarragon::bench
