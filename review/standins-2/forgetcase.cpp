// One request crashes each back end that runs it, and is held at all machines.
// All machines are stopped and started again in turn, as planned. Checks how
// many attempts of the caller reach back ends through machines that are in
// touch.
#include "crashingrequest.h"
#include "repeatedrequests.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace std::chrono_literals;
using namespace review;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

constexpr std::size_t EntryCount = 3;
constexpr std::size_t BackendCount = 6;
constexpr auto RepeatPause = 400ms;
constexpr auto WorkTime = 220ms; // the mean of the site's lookups
constexpr auto GracePeriod = 6s;
constexpr auto RestartDelay = 400ms;
constexpr auto FirstTime = 4s;   // the request comes at all machines
constexpr auto InTouchTime = 5s; // longer than the stability window
constexpr auto AgainTime = 4s;   // it comes at the restarted machine

auto judge(const crashing_request &Request, case_record &Record) -> int {
  const std::size_t Late = Request.lateRetries();
  const std::string Result = std::to_string(Request.crashes()) + " crashes, " +
                             std::to_string(Late) +
                             " retries reached back ends later than 4 s "
                             "after the third";
  Record.write(Result);
  std::cout << Result << "\n";
  return Late > crashing_request::MaxLateRetries ? Broken : Held;
}

/// Stops the machine and starts it again; returns whether it is ready.
auto restart(entry_process &Entry, case_record &Record) -> bool {
  Record.write("SIGTERM to " + Entry.ip());
  Entry.terminate(GracePeriod);
  std::this_thread::sleep_for(RestartDelay);
  Entry.start();
  const bool IsReady = Entry.waitUntilReady(10s);
  Record.write("ready again");
  return IsReady;
}

auto runCase(case_record &Record, const bool HasTrouble) -> int {
  small_deployment Deployment(Record);
  if (!Deployment.start({EntryCount, BackendCount, "idempotent", {}}))
    return CouldNotRun;
  crashing_request Request(Deployment, Record, WorkTime, true);
  std::vector<std::thread> First;
  std::atomic<bool> FirstEnds{false};
  for (std::size_t Number = 0; Number < EntryCount; ++Number)
    First.emplace_back([&, Number] {
      sendRepeatedly(*Deployment.entries()[Number],
                     "first" + std::to_string(Number), crashing_request::Path,
                     RepeatPause, Record, FirstEnds);
    });
  std::this_thread::sleep_for(FirstTime);
  FirstEnds = true;
  for (std::thread &Thread : First)
    Thread.join();
  bool AreBack = true;
  for (std::size_t Number = 0; Number < EntryCount; ++Number) {
    entry_process &Entry = *Deployment.entries()[Number];
    AreBack = (!HasTrouble || restart(Entry, Record)) && AreBack;
    std::this_thread::sleep_for(InTouchTime);
    std::atomic<bool> Ends{false};
    std::thread Again([&] {
      sendRepeatedly(Entry, "again" + std::to_string(Number),
                     crashing_request::Path, RepeatPause, Record, Ends);
    });
    std::this_thread::sleep_for(AgainTime);
    Ends = true;
    Again.join();
  }
  Request.stop();
  const bool IsPlayed =
      AreBack && Request.crashes() >= crashing_request::CrashesThatCount;
  return IsPlayed ? judge(Request, Record) : CouldNotRun;
}

} // namespace

auto main(int Count, char **Values) -> int {
  if (Count != 2)
    return CouldNotRun;
  // It must not outlive its script.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  case_record Record(Values[1]);
  const char *Trouble = std::getenv("TROUBLE");
  return runCase(Record, !Trouble || std::string(Trouble) != "0");
}
