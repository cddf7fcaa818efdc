#pragma once

#include "global/types/time.h"

#include <curl/curl.h>

#include <atomic>
#include <string>
#include <vector>

namespace tarragon::store {

/// One HTTP request.
struct exchange_request {
  std::string Method;
  std::string Url;
  std::string Body;
  bool Write = false;                 ///< libcurl must not resend it
  std::string Authorization;          ///< header value; empty: no header
  std::vector<std::string> Headers{}; ///< further ones, as "Name: value"
  milliseconds ConnectTimeout{};
  milliseconds Timeout{};
  /// Aborts the exchange within about one second once it is true. May be null;
  /// otherwise it must outlive the exchange.
  const std::atomic<bool> *Interrupted = nullptr;
};

/// How far an exchange got.
enum class exchange_state {
  NotSent, ///< proven not sent: no connection was established
  NoReply, ///< possibly sent, but no complete reply was received
  Replied
};

/// The outcome of one HTTP request.
struct exchange_reply {
  exchange_state State = exchange_state::NotSent;
  int Status = 0;
  std::string Body;
  std::string Error; ///< libcurl's error text; empty if State is Replied
};

/// Performs \p Request on \p Handle; blocks until it ends.
auto runExchange(CURL *Handle, const exchange_request &Request)
    -> exchange_reply;

} // namespace tarragon::store
