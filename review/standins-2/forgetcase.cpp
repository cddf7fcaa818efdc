// One request crashes each back end that runs it, and is held at all machines.
// One machine is stopped and started again as planned. Checks how many attempts
// of the caller reach back ends through it once it is in touch again.
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
constexpr auto OtherPause = 100ms;
constexpr std::size_t Restarted = 2;
constexpr auto GracePeriod = 6s;
constexpr auto RestartDelay = 400ms;
constexpr auto FirstTime = 4s;   // the request comes at all machines
constexpr auto InTouchTime = 5s; // longer than the stability window
constexpr auto LastTime = 5s;    // it comes at the restarted machine

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

auto runCase(case_record &Record, const bool HasTrouble) -> int {
  small_deployment Deployment(Record);
  if (!Deployment.start({EntryCount, BackendCount, "idempotent", {}, {}}))
    return CouldNotRun;
  crashing_request Request(Deployment, Record, true);
  std::vector<std::thread> Threads;
  std::atomic<bool> FirstEnds{false};
  std::atomic<bool> Ends{false};
  const auto Send = [&](const std::size_t Number, const std::string &Name,
                        const std::string &Path, const milliseconds Pause,
                        const std::atomic<bool> &Until) {
    Threads.emplace_back([&, Number, Name, Path, Pause] {
      sendRepeatedly(*Deployment.entries()[Number],
                     Name + std::to_string(Number), Path, Pause, Record, Until);
    });
  };
  for (std::size_t Number = 0; Number < EntryCount; ++Number) {
    Send(Number, "first", crashing_request::Path, RepeatPause, FirstEnds);
    if (Number != Restarted)
      Send(Number, "other", "/orders/other", OtherPause, Ends);
  }
  std::this_thread::sleep_for(FirstTime);
  FirstEnds = true;
  entry_process &Entry = *Deployment.entries()[Restarted];
  bool IsBack = true;
  if (HasTrouble) {
    Record.write("SIGTERM to machine " + std::to_string(Restarted));
    Entry.terminate(GracePeriod);
    std::this_thread::sleep_for(RestartDelay);
    Entry.start();
    IsBack = Entry.waitUntilReady(10s);
    Record.write("ready again");
  }
  std::this_thread::sleep_for(InTouchTime);
  Send(Restarted, "again", crashing_request::Path, RepeatPause, Ends);
  std::this_thread::sleep_for(LastTime);
  Ends = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Request.stop();
  const bool IsPlayed =
      IsBack && Request.crashes() >= crashing_request::CrashesThatCount;
  return IsPlayed ? judge(Request, Record) : CouldNotRun;
}

} // namespace

auto main(int Count, char **Values) -> int {
  if (Count != 2)
    return CouldNotRun;
  case_record Record(Values[1]);
  const char *Trouble = std::getenv("TROUBLE");
  return runCase(Record, !Trouble || std::string(Trouble) != "0");
}
