// One tenant sends more than its quota to all machines. The machines that the
// settings name as seeds are removed for good, and another machine is added
// with the same, now stale, seeds. Checks that no window has more runs of the
// tenant than its quota allows over all machines.
#include "directory.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace std::chrono_literals;
using namespace review;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

constexpr std::size_t FirstMachines = 6;
constexpr std::size_t Seeds = 3;
constexpr auto CalmTime = 5s;
constexpr auto GracePeriod = 6s;
constexpr auto TimeAfter = 80s;
constexpr auto Pause = 60ms;

constexpr double RatePerS = 40;
constexpr double Burst = 40;
constexpr double QuotaWindowS = 5;
constexpr double QuotaOverage = 0.1;
constexpr double QuotaSlack = 20;

/// The requests of the tenant that have run: when sent and when they first
/// arrived at a back end, in seconds.
class run_times {
public:
  auto add(const std::string &Id, const double SentAt, const double ArrivedAt)
      -> void {
    const std::lock_guard Lock(Mutex);
    Runs.try_emplace(Id, SentAt, ArrivedAt);
  }

  /// Returns the most requests that were sent and arrived in one window.
  auto most() const -> std::size_t {
    std::size_t Most = 0;
    for (const auto &[Unused, First] : Runs)
      Most = std::max<std::size_t>(
          Most,
          static_cast<std::size_t>(std::count_if(
              Runs.begin(), Runs.end(), [Begin = First.first](const auto &Run) {
                return Run.second.first >= Begin &&
                       Run.second.second <= Begin + QuotaWindowS;
              })));
    return Most;
  }

private:
  std::mutex Mutex;
  std::map<std::string, std::pair<double, double>> Runs; ///< by request
};

auto secondsNow() -> double {
  return std::chrono::duration<double>(steady::now().time_since_epoch())
      .count();
}

/// Sends requests of the tenant to machines that the directory names.
auto callSteadily(directory Directory, const std::string &Name,
                  case_record &Record, const std::atomic<bool> &Ends) -> void {
  std::unique_ptr<byte_stream> Stream;
  for (int Count = 0; !Ends; ++Count) {
    std::this_thread::sleep_for(Pause);
    if (!Stream || Directory.isOld())
      Stream = Directory.connect();
    if (!Stream)
      continue;
    // The id tells the stand-in back end when the request was sent.
    const std::string Id =
        Name + "-" + std::to_string(Count) + "-" + std::to_string(secondsNow());
    Record.write("sent " + Id);
    const bool IsSent =
        Stream->write("GET /orders/" + Name + "-" + std::to_string(Count) +
                      " HTTP/1.1\r\nHost: " + small_deployment::Host +
                      "\r\nX-Request-Id: " + Id +
                      "\r\nX-Credential: key-a\r\nX-Deadline-Ms: 2000\r\n\r\n");
    const auto Answer =
        IsSent ? readMessage(*Stream, 3s) : std::optional<http_message>();
    Record.write("answered " + Id + " " +
                 (Answer ? std::to_string(Answer->status()) : "nothing"));
    if (!Answer || Answer->field("Connection") == "close")
      Stream.reset();
  }
}

auto runCase(case_record &Record, const bool HasTrouble) -> int {
  small_deployment Deployment(Record);
  run_times Runs;
  small_deployment::options Options;
  Options.Entries = FirstMachines;
  Options.ConfigFields =
      R"("tenants":[{"name":"tenant-a","apiKeys":["key-a"],"ratePerS":)" +
      std::to_string(RatePerS) + R"(,"burst":)" + std::to_string(Burst) +
      R"(,"priority":1}],)";
  Options.Bounds = small_deployment::TenantSite;
  if (!Deployment.start(Options))
    return CouldNotRun;
  for (const auto &Backend : Deployment.backends())
    Backend->setArrivalHandler([&Runs](const http_message &Request) {
      const std::string Id = Request.field("X-Request-Id");
      Runs.add(Id, std::atof(Id.substr(Id.rfind('-') + 1).c_str()),
               secondsNow());
    });
  std::atomic<bool> Ends{false};
  std::vector<std::thread> Threads;
  const auto Call = [&](const std::size_t Number) {
    // Callers are near their own machine, and know of those that serve first.
    directory::machines Nearest{Deployment.entries()[Number].get()};
    for (std::size_t Other = Seeds; Other < FirstMachines; ++Other)
      if (Other != Number)
        Nearest.push_back(Deployment.entries()[Other].get());
    Nearest.resize(std::min<std::size_t>(Nearest.size(), 3));
    for (const char *const Part : {"a", "b", "c"})
      Threads.emplace_back(
          [&, Nearest, Name = "q" + std::to_string(Number) + Part] {
            callSteadily(directory(Nearest), Name, Record, Ends);
          });
  };
  for (std::size_t Number = Seeds; Number < FirstMachines; ++Number)
    Call(Number);
  std::this_thread::sleep_for(CalmTime);
  for (std::size_t Number = 0; HasTrouble && Number < Seeds; ++Number) {
    Deployment.entries()[Number]->terminate(GracePeriod);
    Record.write("removed machine " + std::to_string(Number));
  }
  entry_process &Added = Deployment.addEntry(Seeds);
  Added.start();
  const bool IsAdded = Added.waitUntilReady(10s);
  Record.write("added machine " + std::to_string(FirstMachines));
  Call(FirstMachines);
  std::this_thread::sleep_for(TimeAfter);
  Ends = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Limit =
      (RatePerS * QuotaWindowS + Burst) * (1 + QuotaOverage) + QuotaSlack;
  const std::size_t Most = Runs.most();
  const std::string Result = "at most " + std::to_string(Most) +
                             " requests in a window, the quota allows " +
                             std::to_string(Limit);
  Record.write(Result);
  std::cout << Result << "\n";
  if (!IsAdded || Most == 0)
    return CouldNotRun;
  return static_cast<double>(Most) > Limit ? Broken : Held;
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
