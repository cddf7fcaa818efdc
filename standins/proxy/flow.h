#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <deque>
#include <string>

namespace tarragon::standins {

/// The buffered bytes of one direction of a connection.
class flow {
public:
  enum class state { Open, Broken };

  /// Reads a chunk from \p Socket, to be written at \p Due, or after the chunks
  /// before it if those are due later. Discards it if \p Discard is set.
  auto readFrom(int Socket, time_point Due, bool Discard) -> state;

  /// Writes the due chunks, at most \p MaxBytes bytes, and adds the number of
  /// bytes written to \p Written. Shuts down the sending side of \p Socket once
  /// finished().
  auto writeTo(int Socket, time_point Now, std::size_t MaxBytes,
               std::size_t &Written) -> state;

  /// Returns whether the sender may send more and the buffer has free space.
  auto wantsInput() const -> bool;

  /// Returns when the next chunk is due, or time_point::max() if there is none.
  auto nextDue() const -> time_point;

  /// Returns whether the sender has closed its side and all bytes are written.
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
