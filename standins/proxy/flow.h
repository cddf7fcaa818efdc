#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <deque>
#include <string>

namespace tarragon::standins {

/// Bytes on their way in one direction of a connection.
class flow {
public:
  enum class state { Open, Broken };

  /// Reads what \p Socket has; chunks leave at \p Due. Lost ones are read and
  /// thrown away.
  auto readFrom(int Socket, time_point Due, bool Lose) -> state;

  /// Writes what is due, at most \p Most bytes; the number written is added
  /// to \p Written.
  auto writeTo(int Socket, time_point Now, std::size_t Most,
               std::size_t &Written) -> state;

  /// Whether more should be read now.
  auto wantsInput() const -> bool;

  /// When the next chunk leaves, or the greatest moment.
  auto nextDue() const -> time_point;

  /// Whether the sender has ended and everything was passed on.
  auto finished() const -> bool { return Ended && Waiting.empty(); }

private:
  struct chunk {
    time_point Due;
    std::string Bytes;
  };

  std::deque<chunk> Waiting;
  std::size_t WaitingBytes = 0;
  bool Ended = false;
  bool ShutDown = false;
};

} // namespace tarragon::standins
