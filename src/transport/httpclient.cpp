#include "transport/httpclient.h"

#include "transport/internal/exchange.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace tarragon::transport {

namespace {

struct pending_call {
  http_call Call;
  http_client::completion Done;
};

auto initLibrary() -> void {
  static const CURLcode Code = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Code);
}

} // namespace

/// The thread of the client and its state. Only submit(), setLimit() and
/// opened() are called from other threads.
class http_client::worker {
public:
  explicit worker(const http_client_settings Settings)
      : Multi(curl_multi_init()) {
    setLimit(Settings.MaxConnectionsPerAddress);
    // By default libcurl keeps only a few connections more than there are calls
    // in flight, and closes the idle ones when the load decreases.
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
    Thread = std::thread([this] { run(); });
  }

  ~worker() {
    Stopping = true;
    curl_multi_wakeup(Multi);
    Thread.join();
    for (auto &[Handle, Exchange] : Active)
      curl_multi_remove_handle(Multi, Handle);
    Active.clear();
    for (CURL *const Handle : Spare)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(Multi);
  }

  auto submit(pending_call Pending) -> void {
    {
      const std::lock_guard Lock(Mutex);
      Queue.push_back(std::move(Pending));
    }
    curl_multi_wakeup(Multi);
  }

  auto setLimit(const long PerAddress) -> void { RequestedLimit = PerAddress; }

  auto opened() const -> std::uint64_t { return Opened; }

private:
  static constexpr int PollMilliseconds = 1000;
  static constexpr std::size_t MaxSpareHandles = 256;
  static constexpr long MaxKeptConnections = 16384;

  auto run() -> void {
    while (!Stopping) {
      applyLimit();
      startQueued();
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      finishCompleted();
      curl_multi_poll(Multi, nullptr, 0, PollMilliseconds, nullptr);
    }
  }

  auto applyLimit() -> void {
    const long Requested = RequestedLimit;
    if (Requested == Limit)
      return;
    Limit = Requested;
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS, Limit);
  }

  auto startQueued() -> void {
    std::vector<pending_call> Started;
    {
      const std::lock_guard Lock(Mutex);
      Started.swap(Queue);
    }
    for (pending_call &Pending : Started)
      startOne(std::move(Pending));
  }

  auto startOne(pending_call Pending) -> void {
    CURL *const Handle = acquireHandle();
    auto Exchange = std::make_unique<exchange>(Handle, std::move(Pending.Call),
                                               std::move(Pending.Done));
    Active.emplace(Handle, std::move(Exchange));
    curl_multi_add_handle(Multi, Handle);
  }

  auto acquireHandle() -> CURL * {
    if (Spare.empty())
      return curl_easy_init();
    CURL *const Handle = Spare.back();
    Spare.pop_back();
    return Handle;
  }

  auto finishCompleted() -> void {
    int RemainingMessages = 0;
    while (const CURLMsg *const Message =
               curl_multi_info_read(Multi, &RemainingMessages)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      finishOne(Message->easy_handle, Message->data.result);
    }
  }

  auto finishOne(CURL *const Handle, const CURLcode Code) -> void {
    long Connects = 0;
    curl_easy_getinfo(Handle, CURLINFO_NUM_CONNECTS, &Connects);
    Opened += static_cast<std::uint64_t>(Connects);
    curl_multi_remove_handle(Multi, Handle);
    const auto Exchange = std::move(Active[Handle]);
    Active.erase(Handle);
    Exchange->finish(Code);
    if (Spare.size() >= MaxSpareHandles)
      return;
    curl_easy_reset(Handle);
    Spare.push_back(Exchange->releaseHandle());
  }

  CURLM *Multi;
  std::atomic<bool> Stopping{false};
  std::atomic<long> RequestedLimit{0};
  long Limit = 0;
  std::atomic<std::uint64_t> Opened{0};
  std::mutex Mutex; // rank 90: no other lock is acquired while it is held
  std::vector<pending_call> Queue;
  std::unordered_map<CURL *, std::unique_ptr<exchange>> Active;
  std::vector<CURL *> Spare;
  std::thread Thread;
};

http_client::http_client(const http_client_settings Settings) {
  initLibrary();
  Worker = std::make_unique<worker>(Settings);
}

http_client::~http_client() = default;

auto http_client::start(http_call Call, completion Done) -> void {
  Worker->submit({std::move(Call), std::move(Done)});
}

auto http_client::setMaxConnections(const long PerAddress) -> void {
  Worker->setLimit(PerAddress);
}

auto http_client::connectionsOpened() const -> std::uint64_t {
  return Worker->opened();
}

} // namespace tarragon::transport
