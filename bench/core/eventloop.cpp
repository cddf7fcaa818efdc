#include "bench/core/eventloop.h"

#include <curl/curl.h>

#include <algorithm>
#include <vector>

namespace tarragon::bench {

namespace {

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// The loop polls instead of sleeping for waits shorter than this, because curl
/// waits in whole milliseconds.
constexpr milliseconds SpinTime{1};
constexpr milliseconds MaxWait{50};

auto appendBody(char *const Data, const std::size_t Size,
                const std::size_t Count, void *const To) -> std::size_t {
  static_cast<std::string *>(To)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

class event_loop::transfers {
public:
  explicit transfers(const long ConnectionsPerHost) : Multi(curl_multi_init()) {
    constexpr long MaxCachedConnections = 4096;
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS, ConnectionsPerHost);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  }

  ~transfers() {
    for (const auto &[Easy, Transfer] : Active) {
      curl_multi_remove_handle(Multi, Easy);
      curl_slist_free_all(Transfer->Headers);
      curl_easy_cleanup(Easy);
    }
    for (CURL *const Easy : Free)
      curl_easy_cleanup(Easy);
    curl_multi_cleanup(Multi);
  }

  auto start(const http_exchange &Exchange, completion Done) -> void {
    CURL *const Easy = acquireHandle();
    auto Started = std::make_unique<transfer>();
    Started->Done = std::move(Done);
    prepare(Easy, Exchange, *Started);
    Active.emplace(Easy, std::move(Started));
    curl_multi_add_handle(Multi, Easy);
  }

  /// Returns whether a transfer has ended.
  auto perform() -> bool {
    bool Ended = false;
    int Running = 0;
    curl_multi_perform(Multi, &Running);
    int Left = 0;
    while (CURLMsg *const Message = curl_multi_info_read(Multi, &Left))
      if (Message->msg == CURLMSG_DONE) {
        finish(Message->easy_handle, Message->data.result);
        Ended = true;
      }
    return Ended;
  }

  auto wait(const milliseconds Time) -> void {
    curl_multi_poll(Multi, nullptr, 0, static_cast<int>(Time.count()), nullptr);
  }

  auto empty() const -> bool { return Active.empty(); }

private:
  struct transfer {
    completion Done;
    std::string Request;
    std::string Reply;
    curl_slist *Headers = nullptr;
  };

  auto acquireHandle() -> CURL * {
    if (Free.empty())
      return curl_easy_init();
    CURL *const Easy = Free.back();
    Free.pop_back();
    curl_easy_reset(Easy);
    return Easy;
  }

  static auto prepare(CURL *const Easy, const http_exchange &Exchange,
                      transfer &Transfer) -> void {
    const std::string Url = "http://" + Exchange.To + Exchange.Path;
    Transfer.Request = Exchange.Body;
    for (const std::string &Header : Exchange.Headers)
      Transfer.Headers = curl_slist_append(Transfer.Headers, Header.c_str());
    Transfer.Headers =
        curl_slist_append(Transfer.Headers, "Connection: keep-alive");
    Transfer.Headers = curl_slist_append(Transfer.Headers, "Expect:");
    curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Transfer.Headers);
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Exchange.Timeout.count()));
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Transfer.Reply);
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Exchange.Method.c_str());
    if (Exchange.Method == "GET")
      return;
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Transfer.Request.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Transfer.Request.size()));
  }

  auto finish(CURL *const Easy, const CURLcode Code) -> void {
    const auto Found = Active.find(Easy);
    const auto Ended = std::move(Found->second);
    Active.erase(Found);
    http_answer Answer;
    if (Code == CURLE_OK) {
      long Status = 0;
      curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
      Answer.Status = static_cast<int>(Status);
      Answer.Body = std::move(Ended->Reply);
    }
    Answer.NotConnected = Code == CURLE_COULDNT_CONNECT;
    curl_multi_remove_handle(Multi, Easy);
    curl_slist_free_all(Ended->Headers);
    Free.push_back(Easy);
    Ended->Done(Answer);
  }

  CURLM *Multi;
  std::map<CURL *, std::unique_ptr<transfer>> Active;
  std::vector<CURL *> Free;
};

event_loop::event_loop(const long ConnectionsPerHost)
    : Transfers(std::make_unique<transfers>(ConnectionsPerHost)) {}

event_loop::~event_loop() = default;

auto event_loop::runAt(const time_point When, callback Callback) -> void {
  Timers.emplace(When, std::move(Callback));
}

auto event_loop::start(const http_exchange &Exchange, completion Done) -> void {
  Transfers->start(Exchange, std::move(Done));
}

auto event_loop::step(const time_point Latest) -> void {
  bool Worked = Transfers->perform();
  while (!Timers.empty() && Timers.begin()->first <= now()) {
    const callback Callback = std::move(Timers.begin()->second);
    Timers.erase(Timers.begin());
    Callback();
    Worked = true;
  }
  // Return before sleeping, so that the caller can check its condition.
  if (Worked)
    return;
  time_point Next = std::min(Latest, now() + MaxWait);
  if (!Timers.empty())
    Next = std::min(Next, Timers.begin()->first);
  const auto Wait = std::chrono::floor<milliseconds>(Next - now());
  Transfers->wait(Wait < SpinTime ? milliseconds(0) : Wait);
}

auto event_loop::runUntil(const time_point End) -> void {
  while (now() < End)
    step(End);
}

auto event_loop::runUntilIdle(const time_point Latest) -> void {
  while (now() < Latest && !(Timers.empty() && Transfers->empty()))
    step(Latest);
}

auto event_loop::call(const http_exchange &Exchange) -> http_answer {
  http_answer Result;
  bool Finished = false;
  start(Exchange, [&](const http_answer &Answer) {
    Result = Answer;
    Finished = true;
  });
  while (!Finished)
    step(now() + MaxWait);
  return Result;
}

} // namespace tarragon::bench
