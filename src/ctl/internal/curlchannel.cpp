#include "ctl/curlchannel.h"

#include "ctl/internal/replytext.h"
#include "store/httpexchange.h"
#include "world/types/accountheaders.h"

#include <algorithm>
#include <thread>

namespace tarragon::ctl {

namespace {

constexpr milliseconds ConnectTimeout{1000};

} // namespace

struct curl_channel::handle {
  handle() : Curl(curl_easy_init()) {}
  ~handle() { curl_easy_cleanup(Curl); }
  handle(const handle &) = delete;
  auto operator=(const handle &) -> handle & = delete;

  CURL *Curl;
};

curl_channel::curl_channel() : Handle(std::make_unique<handle>()) {}

curl_channel::~curl_channel() = default;

auto curl_channel::send(const entry_call &Call, const milliseconds Timeout)
    -> entry_reply {
  store::exchange_request Request;
  Request.Method = Call.Method;
  Request.Url = "http://" + Call.Entry + Call.Path;
  Request.Body = Call.Body;
  Request.Write = Call.Method != "GET";
  Request.ConnectTimeout = std::min(ConnectTimeout, Timeout);
  Request.Timeout = Timeout;
  if (!Call.Token.empty())
    Request.Authorization = "Bearer " + Call.Token;
  if (!Call.ApiKey.empty())
    Request.Headers.push_back(std::string(ApiKeyHeader) + ": " + Call.ApiKey);
  curl_easy_reset(Handle->Curl);
  const auto Reply = store::runExchange(Handle->Curl, Request);
  switch (Reply.State) {
  case store::exchange_state::NotSent:
    return {reply_state::NotSent, {}, {}, {}, Reply.Error};
  case store::exchange_state::NoReply:
    return {reply_state::NoReply, {}, {}, {}, Reply.Error};
  case store::exchange_state::Replied:
    return readReply(Reply.Status, Reply.Body);
  }
  return {};
}

auto curl_channel::now() -> time_point {
  return std::chrono::steady_clock::now();
}

auto curl_channel::pause(const milliseconds Wait) -> void {
  std::this_thread::sleep_for(Wait);
}

} // namespace tarragon::ctl
