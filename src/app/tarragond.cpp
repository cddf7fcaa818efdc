// The one daemon: reads settings, starts an entry, waits for a signal.
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

enum exit_code { Stopped = 0, NotStarted = 1, WrongSettings = 2, Forced = 3 };

constexpr milliseconds DrainPoll{50};
constexpr milliseconds HandOverTime{300};

auto stopSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Whether a stop signal came within \p Wait.
auto signalWithin(const sigset_t &Signals, const milliseconds Wait) -> bool {
  timespec Time{};
  Time.tv_sec = Wait.count() / 1000;
  Time.tv_nsec = Wait.count() % 1000 * 1000000;
  return sigtimedwait(&Signals, nullptr, &Time) > 0;
}

auto refuse(const failure &Failure) -> int {
  std::cerr << "tarragond: " << static_cast<int>(Failure.Code) << ' '
            << resultRow(Failure.Code).Name << ": " << Failure.Detail << '\n';
  return NotStarted;
}

/// Waits for a signal or an operator's drain, then for the drain's end.
auto serveUntilDrained(entry::entry &Entry, const sigset_t &Signals) -> int {
  while (!Entry.isDraining())
    if (signalWithin(Signals, DrainPoll))
      Entry.drain();
  while (!Entry.isDrained())
    if (signalWithin(Signals, DrainPoll))
      return Forced;
  Entry.sendLedgerToPeers();
  return signalWithin(Signals, HandOverTime) ? Forced : Stopped;
}

auto run(const app::daemon_settings &Settings) -> int {
  const sigset_t Signals = stopSignals();
  // Blocked before any thread starts, so that all inherit it.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  log::setUp(Settings.LogLevel, Settings.LogFormat);
  entry::entry Entry(Settings.Entry);
  entry::http_api Api(Entry);
  if (const auto Started = Entry.start(); !Started)
    return refuse(Started.error());
  if (const auto Started = Api.start(); !Started)
    return refuse(Started.error());
  log::write(log::level::Info, log::part::Entry, "serving",
             {{"instance", Settings.Entry.Self.Id},
              {"address", Settings.Entry.Self.CallerAddress}});
  const int Code = serveUntilDrained(Entry, Signals);
  // Requests still under way hold on to the server that is about to go.
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
    return WrongSettings;
  if (Settings.Task == app::daemon_task::Print)
    std::cout << Settings.Text;
  if (Settings.Task != app::daemon_task::Run)
    return Stopped;
  return run(Settings);
}
