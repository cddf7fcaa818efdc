#pragma once

#include "global/types/time.h"

#include <curl/curl.h>

#include <atomic>
#include <string>

namespace tarragon::store {

/// One HTTP request.
struct exchange_request {
  std::string Method;
  std::string Url;
  std::string Body;
  bool Write = false;        ///< must not be sent twice by the library
  std::string Authorization; ///< value of the header; empty: none
  milliseconds ConnectTimeout{};
  milliseconds Timeout{};
  /// Ends the exchange within about a second once true; null: never.
  const std::atomic<bool> *Interrupted = nullptr;
};

/// How far an exchange came.
enum class exchange_state {
  NotSent, ///< proven: no connection was made
  NoReply, ///< sent in part or whole, but no whole reply came
  Replied
};

struct exchange_reply {
  exchange_state State = exchange_state::NotSent;
  int Status = 0;
  std::string Body;
  std::string Error; ///< one phrase; empty when replied
};

/// Runs \p Request on \p Handle and waits for its end.
auto runExchange(CURL *Handle, const exchange_request &Request)
    -> exchange_reply;

} // namespace tarragon::store
