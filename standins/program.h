#pragma once

namespace tarragon::standins {

/// Blocks the stop signals in this thread and those started later. Called
/// before any thread starts.
auto blockStopSignals() -> void;

/// Waits for SIGTERM or SIGINT and ends the process at once with status 0.
[[noreturn]] auto exitOnStopSignal() -> void;

} // namespace tarragon::standins
