#pragma once

#include "ctl/ientrychannel.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace tarragon::ctl {

/// Calls entries within the time of one command, and goes on to the next one
/// when an entry can't be reached.
template <entry_channel Channel> class entry_client {
public:
  entry_client(Channel &Link, std::vector<address> Entries, std::string Token,
               const milliseconds Timeout)
      : Link(Link), Entries(std::move(Entries)), Token(std::move(Token)),
        Deadline(Link.now() + Timeout) {}

  /// Asks something that may be asked again: tries each entry once.
  auto ask(const std::string &Method, const std::string &Path,
           const std::string &Body = {}) -> entry_reply {
    entry_reply Reply;
    for (std::size_t Try = 0; Try < Entries.size() && timeLeft(); ++Try) {
      Reply = send(Method, Path, Body);
      if (Reply.State == reply_state::Replied)
        return Reply;
      moveOn();
    }
    return Reply;
  }

  /// One call to the present entry.
  auto send(const std::string &Method, const std::string &Path,
            const std::string &Body) -> entry_reply {
    auto Reply =
        Link.send({Entries[Present], Method, Path, Body, Token}, remaining());
    Reply.Entry = Entries[Present];
    return Reply;
  }

  /// Takes the next entry for the calls to come.
  auto moveOn() -> void { Present = (Present + 1) % Entries.size(); }

  auto entryCount() const -> std::size_t { return Entries.size(); }

  auto timeLeft() -> bool { return Link.now() < Deadline; }

  /// Waits, but not beyond the command's time.
  auto pause(const milliseconds Wait) -> void {
    Link.pause(std::min(Wait, remaining()));
  }

private:
  /// Leaves time for another entry when this one hangs.
  auto callTimeout() -> milliseconds {
    if (Entries.size() == 1)
      return remaining();
    return std::max(remaining() / 2, std::min(remaining(), ShortestCall));
  }

  auto remaining() -> milliseconds {
    const auto Left = std::chrono::ceil<milliseconds>(Deadline - Link.now());
    return std::max(Left, milliseconds{1});
  }

  static constexpr milliseconds ShortestCall{500};

  Channel &Link;
  std::vector<address> Entries;
  std::string Token;
  time_point Deadline;
  std::size_t Present = 0;
};

} // namespace tarragon::ctl
