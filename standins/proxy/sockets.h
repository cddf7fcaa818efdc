#pragma once

#include "world/types/ids.h"

namespace tarragon::standins {

/// A descriptor that closes itself; negative when there is none.
class socket_handle {
public:
  explicit socket_handle(int Descriptor = -1) : Descriptor(Descriptor) {}
  socket_handle(socket_handle &&Other) noexcept;
  auto operator=(socket_handle &&Other) noexcept -> socket_handle &;
  ~socket_handle();

  auto get() const -> int { return Descriptor; }
  auto isOpen() const -> bool { return Descriptor >= 0; }
  auto close() -> void;

private:
  int Descriptor;
};

/// A listening socket on \p Address, not blocking; none when it is taken.
auto openListener(const address &Address) -> socket_handle;

/// A socket that connects to \p Address, not blocking.
auto beginConnect(const address &Address) -> socket_handle;

/// The next waiting connection, not blocking; none when there is none.
auto acceptFrom(const socket_handle &Listener) -> socket_handle;

} // namespace tarragon::standins
