#pragma once

namespace tarragon::standins {

/// Blocks SIGTERM and SIGINT in this thread and in threads it starts later, and
/// ignores SIGPIPE. Must be called before any thread is started.
auto blockStopSignals() -> void;

/// Waits for SIGTERM or SIGINT, then exits immediately with status 0, without
/// running destructors.
[[noreturn]] auto exitOnStopSignal() -> void;

} // namespace tarragon::standins
