#include "standins/proxy/flow.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace tarragon::standins {

namespace {

constexpr std::size_t MaxWaitingBytes = 4U << 20U;
constexpr std::size_t ReadBytes = 64U << 10U;

auto wouldBlock() -> bool {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
         errno == ENOTCONN;
}

} // namespace

auto flow::readFrom(const int Socket, const time_point Due, const bool Discard)
    -> state {
  if (!wantsInput())
    return state::Open;
  std::array<char, ReadBytes> Buffer{};
  const auto Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count < 0)
    return wouldBlock() ? state::Open : state::Broken;
  if (Count == 0) {
    Ended = true;
    return state::Open;
  }
  if (Discard)
    return state::Open;
  const time_point Ordered =
      Waiting.empty() ? Due : std::max(Due, Waiting.back().Due);
  Waiting.push_back(
      {Ordered, std::string(Buffer.data(), static_cast<std::size_t>(Count))});
  WaitingBytes += static_cast<std::size_t>(Count);
  return state::Open;
}

auto flow::writeTo(const int Socket, const time_point Now,
                   const std::size_t MaxBytes, std::size_t &Written) -> state {
  std::size_t Left = MaxBytes;
  while (!Waiting.empty() && Waiting.front().Due <= Now && Left > 0) {
    std::string &Bytes = Waiting.front().Bytes;
    const auto Count = ::send(Socket, Bytes.data(),
                              std::min(Left, Bytes.size()), MSG_NOSIGNAL);
    if (Count < 0)
      return wouldBlock() ? state::Open : state::Broken;
    const auto Sent = static_cast<std::size_t>(Count);
    Written += Sent;
    Left -= Sent;
    WaitingBytes -= Sent;
    Bytes.erase(0, Sent);
    if (Bytes.empty())
      Waiting.pop_front();
  }
  if (finished() && !ShutDown) {
    ShutDown = true;
    ::shutdown(Socket, SHUT_WR);
  }
  return state::Open;
}

auto flow::wantsInput() const -> bool {
  return !Ended && WaitingBytes < MaxWaitingBytes;
}

auto flow::nextDue() const -> time_point {
  return Waiting.empty() ? time_point::max() : Waiting.front().Due;
}

} // namespace tarragon::standins
