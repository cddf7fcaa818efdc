#include "standins/proxy/relay.h"

#include <algorithm>
#include <limits>

namespace tarragon::standins {

namespace {

auto pollFor(const int Socket, const bool Read, const bool Write) -> pollfd {
  pollfd Poll{Socket, 0, 0};
  if (Read)
    Poll.events |= POLLIN;
  if (Write)
    Poll.events |= POLLOUT;
  return Poll;
}

} // namespace

relay::relay(socket_handle Client, socket_handle Server)
    : Client(std::move(Client)), Server(std::move(Server)) {}

auto relay::clientPoll(const proxy_faults &Faults, const time_point Now) const
    -> pollfd {
  const bool CanReply = !Faults.HoldReplies && Replies.nextDue() <= Now;
  return pollFor(Client.get(), Requests.wantsInput(), CanReply);
}

auto relay::serverPoll(const time_point Now) const -> pollfd {
  return pollFor(Server.get(), Replies.wantsInput(), Requests.nextDue() <= Now);
}

auto relay::advance(const pollfd &ClientPoll, const pollfd &ServerPoll,
                    const proxy_faults &Faults, const time_point Now,
                    const milliseconds Delay) -> bool {
  constexpr auto NoLimit = std::numeric_limits<std::size_t>::max();
  constexpr short Failed = POLLERR | POLLNVAL;
  if (((ClientPoll.revents | ServerPoll.revents) & Failed) != 0)
    return false;
  if ((ClientPoll.revents & POLLHUP) != 0 && !Requests.wantsInput())
    return false;
  if ((ClientPoll.revents & (POLLIN | POLLHUP)) != 0 &&
      Requests.readFrom(Client.get(), Now + Delay,
                        Faults.Loss == loss_kind::ToServer) ==
          flow::state::Broken)
    return false;
  if ((ServerPoll.revents & (POLLIN | POLLHUP)) != 0 &&
      Replies.readFrom(Server.get(), Now + Delay,
                       Faults.Loss == loss_kind::FromServer) ==
          flow::state::Broken)
    return false;
  std::size_t Written = 0;
  if (Requests.writeTo(Server.get(), Now, NoLimit, Written) ==
      flow::state::Broken)
    return false;
  if (!forwardReplies(Faults, Now))
    return false;
  return !(Requests.finished() && Replies.finished());
}

auto relay::forwardReplies(const proxy_faults &Faults, const time_point Now)
    -> bool {
  if (Faults.HoldReplies)
    return true;
  if (Generation != Faults.Generation) {
    Generation = Faults.Generation;
    ReplyBytes = 0;
  }
  const std::size_t MaxBytes = Faults.DropAfterBytes == 0
                                   ? std::numeric_limits<std::size_t>::max()
                                   : Faults.DropAfterBytes - ReplyBytes;
  if (Replies.writeTo(Client.get(), Now, MaxBytes, ReplyBytes) ==
      flow::state::Broken)
    return false;
  return Faults.DropAfterBytes == 0 || ReplyBytes < Faults.DropAfterBytes;
}

auto relay::nextDue(const proxy_faults &Faults) const -> time_point {
  if (Faults.HoldReplies)
    return Requests.nextDue();
  return std::min(Requests.nextDue(), Replies.nextDue());
}

} // namespace tarragon::standins
