// The daemon: reads its settings, runs an entry instance and drains it on
// SIGTERM or SIGINT.
#include "app/daemonsettings.h"
#include "entry/entry.h"
#include "entry/httpapi.h"
#include "global/log.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>

namespace {

using namespace tarragon;

/// The exit codes of tarragond.
enum exit_code { Stopped = 0, NotStarted = 1, InvalidSettings = 2, Forced = 3 };

constexpr milliseconds DrainPollPeriod{50};
/// Time for the messages of the handover to be sent before the process stops.
constexpr milliseconds HandOverTime{300};

auto stopSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Waits up to \p Wait for a stop signal; returns whether one arrived.
auto waitForSignal(const sigset_t &Signals, const milliseconds Wait) -> bool {
  timespec Time{};
  Time.tv_sec = Wait.count() / 1000;
  Time.tv_nsec = Wait.count() % 1000 * 1000000;
  return sigtimedwait(&Signals, nullptr, &Time) > 0;
}

/// Prints the cause of a failed start; returns the exit code.
auto reportStartFailure(const failure &Failure) -> int {
  std::cerr << "tarragond: " << static_cast<int>(Failure.Code) << ' '
            << resultRow(Failure.Code).Name << ": " << Failure.Detail << '\n';
  return NotStarted;
}

/// Serves until a stop signal or an operator starts a drain, then waits for the
/// drain to finish. A second signal stops it immediately.
auto serveUntilDrained(entry::entry &Entry, const sigset_t &Signals) -> int {
  while (!Entry.isDraining())
    if (waitForSignal(Signals, DrainPollPeriod))
      Entry.drain();
  while (!Entry.isDrained())
    if (waitForSignal(Signals, DrainPollPeriod))
      return Forced;
  Entry.sendLedgerToPeers();
  return waitForSignal(Signals, HandOverTime) ? Forced : Stopped;
}

auto run(const app::daemon_settings &Settings) -> int {
  const sigset_t Signals = stopSignals();
  // Blocked before any thread starts, so that all threads inherit the mask.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  log::configure(Settings.LogLevel, Settings.LogFormat);
  entry::entry Entry(Settings.Entry);
  entry::http_api Api(Entry);
  if (const auto Started = Entry.start(); !Started)
    return reportStartFailure(Started.error());
  if (const auto Started = Api.start(); !Started)
    return reportStartFailure(Started.error());
  log::write(log::level::Info, log::part::Entry, "serving",
             {{"instance", Settings.Entry.Self.Id},
              {"address", Settings.Entry.Self.CallerAddress}});
  const int Code = serveUntilDrained(Entry, Signals);
  // Requests that are still running refer to the server, so it can't be
  // destroyed safely.
  if (Code == Forced || !Entry.isIdle())
    std::_Exit(Code);
  Api.stop();
  Entry.stop();
  log::write(log::level::Info, log::part::Entry, "stopped",
             {{"instance", Settings.Entry.Self.Id}});
  return Code;
}

} // namespace

auto main(const int Count, char **Arguments) -> int {
  const auto Settings = app::readDaemonSettings(Count, Arguments);
  if (Settings.Task == app::daemon_task::Help) {
    std::cout << Settings.Text;
    return Stopped;
  }
  if (Settings.Task == app::daemon_task::Version) {
    std::cout << "tarragond " << TARRAGON_VERSION << '\n';
    return Stopped;
  }
  for (const std::string &Fault : Settings.Faults)
    std::cerr << "tarragond: " << static_cast<int>(result_code::BadSetting)
              << " bad_setting: " << Fault << '\n';
  if (!Settings.Faults.empty())
    return InvalidSettings;
  if (Settings.Task == app::daemon_task::Print)
    std::cout << Settings.Text;
  if (Settings.Task != app::daemon_task::Run)
    return Stopped;
  return run(Settings);
}
