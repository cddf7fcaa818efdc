#pragma once

#include "ctl/ientrychannel.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace tarragon::ctl {

/// Client that calls entries within the timeout of one command and fails over
/// to the next one when an entry can't be reached.
template <entry_channel Channel> class entry_client {
public:
  entry_client(Channel &Link, std::vector<address> Entries, std::string Token,
               const milliseconds Timeout, std::string ApiKey = {})
      : Link(Link), Entries(std::move(Entries)), Token(std::move(Token)),
        ApiKey(std::move(ApiKey)), Deadline(Link.now() + Timeout) {}

  /// Sends a request that is safe to repeat to each entry in turn, once each,
  /// until one replies.
  auto sendRepeatable(const std::string &Method, const std::string &Path,
                      const std::string &Body = {}) -> entry_reply {
    entry_reply Reply;
    for (std::size_t Attempt = 0; Attempt < Entries.size() && hasTimeLeft();
         ++Attempt) {
      Reply = call(Method, Path, Body, callTimeout());
      if (Reply.State == reply_state::Replied)
        return Reply;
      selectNextEntry();
    }
    return Reply;
  }

  /// Sends one request to the current entry.
  auto send(const std::string &Method, const std::string &Path,
            const std::string &Body) -> entry_reply {
    return call(Method, Path, Body, remaining());
  }

  /// Selects the next entry for the following calls.
  auto selectNextEntry() -> void { Current = (Current + 1) % Entries.size(); }

  auto entryCount() const -> std::size_t { return Entries.size(); }

  auto hasTimeLeft() -> bool { return Link.now() < Deadline; }

  /// Waits for \p Wait, but not beyond the command's deadline.
  auto pause(const milliseconds Wait) -> void {
    Link.pause(std::min(Wait, remaining()));
  }

private:
  auto call(const std::string &Method, const std::string &Path,
            const std::string &Body, const milliseconds Timeout)
      -> entry_reply {
    const bool IsQuery = Path == "/v1/query";
    auto Reply = Link.send({Entries[Current], Method, Path, Body, Token,
                            IsQuery ? ApiKey : std::string()},
                           Timeout);
    Reply.Entry = Entries[Current];
    return Reply;
  }

  /// Returns the timeout of one call, which leaves time for another entry when
  /// this one does not reply.
  auto callTimeout() -> milliseconds {
    if (Entries.size() == 1)
      return remaining();
    return std::max(remaining() / 2, std::min(remaining(), MinCallTimeout));
  }

  auto remaining() -> milliseconds {
    const auto Left = std::chrono::ceil<milliseconds>(Deadline - Link.now());
    return std::max(Left, milliseconds{1});
  }

  static constexpr milliseconds MinCallTimeout{500};

  Channel &Link;
  std::vector<address> Entries;
  std::string Token;
  std::string ApiKey; ///< sent with queries only
  time_point Deadline;
  std::size_t Current = 0;
};

} // namespace tarragon::ctl
