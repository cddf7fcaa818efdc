#pragma once

#include "entry/types/entrysettings.h"
#include "once/ticketledger.h"
#include "transport/httpclient.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace tarragon::entry {

/// Runner of non-repeatable requests by their tickets: runs the request here,
/// waits for the run in flight, replays the recorded answer, or forwards the
/// request to the instance that issued the ticket.
class once_runner {
public:
  using completion = std::function<void(query_answer)>;
  /// Runs the request; called at most once for a ticket.
  using run_function = std::function<void(query_request, completion)>;
  using find_function =
      std::function<std::optional<instance>(const instance_id &)>;

  once_runner(const entry_settings &Settings, run_function Run,
              find_function Find);

  auto issue(std::size_t Count) -> std::vector<std::string>;

  /// Answers \p Request and calls \p Done exactly once. \p Forwarded is set
  /// when another instance forwarded the request; it is not forwarded again.
  /// \p ForwardTimeout limits a call that forwards it from here.
  auto handle(query_request Request, fingerprint Fingerprint, bool Forwarded,
              milliseconds ForwardTimeout, completion Done) -> void;

  /// Refuses every ticket whose request has not started.
  auto seal() -> void;
  /// Returns whether the ledger is sealed and no request is running.
  auto isFinal() const -> bool;
  auto sealedCopy() const -> once::sealed_ledger;
  auto adopt(once::sealed_ledger Ledger) -> void;
  auto size() const -> std::size_t;

private:
  /// One of the requests with the same ticket; each is answered under its own
  /// request id.
  struct waiter {
    std::string RequestId;
    completion Done;
  };

  auto runNow(const once::ticket &Ticket, query_request Request,
              completion Done) -> void;
  auto onRunFinished(const once::ticket &Ticket, query_answer Answer) -> void;
  auto forward(const query_request &Request, const once::forward_to &To,
               milliseconds ForwardTimeout, completion Done) -> void;

  instance_id Self;
  run_function Run;
  find_function Find;
  mutable std::mutex Mutex; // rank 45
  once::ticket_ledger Ledger;
  std::map<std::uint64_t, std::vector<waiter>> Waiting; ///< by ticket
  transport::http_client Client;
};

} // namespace tarragon::entry
