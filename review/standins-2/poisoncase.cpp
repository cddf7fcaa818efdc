// One request crashes each back end that runs it. Its caller sends it again and
// again at every machine. Checks how many of these attempts reach back ends
// once three of them have crashed, also after a hold of the request has ended.
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
constexpr auto RepeatPause = 300ms;
constexpr auto OtherPause = 100ms;
constexpr auto WorkTime = 1300ms; // the longest of the site's lookups
constexpr auto PlayTime = 50s;

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
  if (!Deployment.start({EntryCount, BackendCount, "idempotent", {}}))
    return CouldNotRun;
  crashing_request Request(Deployment, Record, WorkTime, HasTrouble);
  std::atomic<bool> Ends{false};
  std::vector<std::thread> Threads;
  const auto Send = [&](const std::size_t Number, const std::string &Name,
                        const std::string &Path, const milliseconds Pause) {
    Threads.emplace_back([&, Number, Name, Path, Pause] {
      sendRepeatedly(*Deployment.entries()[Number],
                     Name + std::to_string(Number), Path, Pause, Record, Ends);
    });
  };
  for (std::size_t Number = 0; Number < EntryCount; ++Number) {
    Send(Number, "crash", crashing_request::Path, RepeatPause);
    Send(Number, "other", "/orders/other", OtherPause);
  }
  std::this_thread::sleep_for(PlayTime);
  Ends = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Request.stop();
  const bool IsPlayed =
      !HasTrouble || Request.crashes() >= crashing_request::CrashesThatCount;
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
