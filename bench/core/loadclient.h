#pragma once

#include "bench/core/callrecord.h"
#include "bench/core/eventloop.h"
#include "bench/core/topology.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::bench {

/// Settings of the simulated callers.
struct load_settings {
  std::size_t Callers = 12; ///< spread over the failure domains
  milliseconds Timeout{3000};
  int MaxSends = 3; ///< of one request, each to the next address
  bool ResendUnanswered = true;
};

/// Simulated callers that follow the caller protocol: each uses its address
/// list for the list's lifetime and resends to the next address when one fails.
class load_client {
public:
  load_client(event_loop &Loop, const topology &Topology,
              load_settings Settings);

  /// Requests the address list and tickets of every caller and waits for the
  /// lists. Returns false if a caller received none.
  auto prime() -> bool;

  /// Sends \p Calls on schedule, starting now, and waits for all results.
  auto play(const std::vector<scheduled_call> &Calls)
      -> std::vector<call_record>;

  /// Schedules \p Calls without waiting; \p Records is filled while the event
  /// loop runs.
  auto begin(const std::vector<scheduled_call> &Calls, time_point Start,
             std::vector<call_record> &Records) -> void;

private:
  struct caller {
    failure_domain Domain;
    std::vector<address> Addresses;
    time_point Expires;
    bool Refreshing = false;
    std::deque<std::string> Tickets;
    bool RequestingTickets = false;
  };

  struct flight;

  auto refresh(caller &Caller, std::size_t Attempt) -> void;
  auto refillTickets(caller &Caller) -> void;
  auto submit(const std::shared_ptr<flight> &Flight) -> void;
  auto send(const std::shared_ptr<flight> &Flight) -> void;
  auto receive(const std::shared_ptr<flight> &Flight, const http_answer &Answer)
      -> void;

  event_loop &Loop;
  load_settings Settings;
  std::vector<address> SeedAddresses; ///< fallback for the address lists
  std::vector<caller> Callers;
  std::size_t NextCaller = 0;
  std::size_t InFlight = 0;
};

} // namespace tarragon::bench
