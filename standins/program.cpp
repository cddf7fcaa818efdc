#include "standins/program.h"

#include <csignal>

#include <unistd.h>

namespace tarragon::standins {

namespace {

auto stopSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

auto blockStopSignals() -> void {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

auto exitOnStopSignal() -> void {
  const sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  ::_exit(0);
}

} // namespace tarragon::standins
