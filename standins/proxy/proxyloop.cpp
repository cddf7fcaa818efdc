#include "standins/proxy/proxyloop.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace tarragon::standins {

namespace {

constexpr milliseconds MaxWait{1000};
constexpr std::size_t FirstRelayPoll = 2;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

} // namespace

proxy_loop::proxy_loop(address Listen, address To, const std::uint64_t Seed)
    : Listen(std::move(Listen)), To(std::move(To)), Random(Seed) {}

auto proxy_loop::open() -> bool {
  std::array<int, 2> Pipe{-1, -1};
  if (::pipe2(Pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    return false;
  WakeRead = socket_handle(Pipe[0]);
  WakeWrite = socket_handle(Pipe[1]);
  Listener = openListener(Listen);
  return Listener.isOpen();
}

auto proxy_loop::run() -> void {
  while (!Stopping)
    step();
}

auto proxy_loop::stop() -> void {
  Stopping = true;
  wake();
}

auto proxy_loop::faults() const -> proxy_faults {
  const std::lock_guard Lock(Mutex);
  return Faults;
}

auto proxy_loop::setFaults(proxy_faults NewFaults) -> void {
  {
    const std::lock_guard Lock(Mutex);
    NewFaults.Generation = Faults.Generation + 1;
    Faults = NewFaults;
  }
  wake();
}

auto proxy_loop::cutAll() -> void {
  {
    const std::lock_guard Lock(Mutex);
    CutRequested = true;
  }
  wake();
}

auto proxy_loop::wake() const -> void {
  [[maybe_unused]] const auto Written = ::write(WakeWrite.get(), "x", 1);
}

auto proxy_loop::step() -> void {
  const proxy_faults Current = faults();
  applyRefusal(Current);
  const time_point Before = now();
  std::vector<pollfd> Polls{{WakeRead.get(), POLLIN, 0},
                            {Listener.get(), POLLIN, 0}};
  for (const relay &Relay : Relays) {
    Polls.push_back(Relay.clientPoll(Current, Before));
    Polls.push_back(Relay.serverPoll(Before));
  }
  ::poll(Polls.data(), Polls.size(),
         static_cast<int>(waitTime(Current, Before).count()));
  std::array<char, 64> Drained{};
  while (::read(WakeRead.get(), Drained.data(), Drained.size()) > 0) {
  }
  advanceAll(Polls, faults());
  if (Listener.isOpen())
    acceptAll();
  Count = Relays.size();
}

auto proxy_loop::applyRefusal(const proxy_faults &Current) -> void {
  if (Current.Refuse)
    Listener.close();
  else if (!Listener.isOpen())
    Listener = openListener(Listen);
}

auto proxy_loop::acceptAll() -> void {
  while (true) {
    socket_handle Client = acceptFrom(Listener);
    if (!Client.isOpen())
      return;
    Relays.emplace_back(std::move(Client), beginConnect(To));
  }
}

auto proxy_loop::advanceAll(const std::vector<pollfd> &Polls,
                            const proxy_faults &Current) -> void {
  {
    const std::lock_guard Lock(Mutex);
    if (std::exchange(CutRequested, false))
      Relays.clear();
  }
  const time_point Now = now();
  std::size_t At = FirstRelayPoll;
  for (auto It = Relays.begin(); It != Relays.end(); At += 2) {
    const auto JitterValues =
        static_cast<std::uint64_t>(Current.Jitter.count()) + 1;
    const milliseconds Delay =
        Current.Delay +
        milliseconds(Current.Jitter.count() == 0 ? 0 : Random() % JitterValues);
    const bool Alive =
        It->advance(Polls[At], Polls[At + 1], Current, Now, Delay);
    It = Alive ? std::next(It) : Relays.erase(It);
  }
}

auto proxy_loop::waitTime(const proxy_faults &Current,
                          const time_point Now) const -> milliseconds {
  time_point Next = Now + MaxWait;
  for (const relay &Relay : Relays) {
    const time_point Due = Relay.nextDue(Current);
    if (Due > Now)
      Next = std::min(Next, Due);
  }
  return std::chrono::ceil<milliseconds>(Next - Now);
}

} // namespace tarragon::standins
