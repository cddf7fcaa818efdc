#pragma once

#include "world/types/ids.h"

namespace tarragon::standins {

/// Owns a file descriptor; negative if it holds none.
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

/// Opens a non-blocking listening socket on \p Address. Returns an empty handle
/// on failure.
auto openListener(const address &Address) -> socket_handle;

/// Opens a non-blocking socket and starts to connect it to \p Address.
auto beginConnect(const address &Address) -> socket_handle;

/// Accepts the next pending connection as a non-blocking socket. Returns an
/// empty handle if there is none.
auto acceptFrom(const socket_handle &Listener) -> socket_handle;

} // namespace tarragon::standins
