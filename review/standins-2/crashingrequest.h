#pragma once

#include "smalldeployment.h"

namespace review {

/// A request that crashes each back end that runs it, at the end of its work:
/// counts its attempts at back ends, and starts these again.
class crashing_request {
public:
  static constexpr const char *Path = "/orders/crash";
  static constexpr milliseconds DownTime{2000};
  static constexpr milliseconds StabilityWindow{4000};
  static constexpr std::size_t MaxLateRetries = 3;
  static constexpr std::size_t CrashesThatCount = 3;

  /// It works for \p WorkTime. With \p Crashes unset it is a request like
  /// others.
  crashing_request(small_deployment &Deployment, case_record &Record,
                   const milliseconds WorkTime, const bool Crashes)
      : Deployment(Deployment), Record(Record), WorkTime(WorkTime),
        Crashes(Crashes), IsEnding(Deployment.backends().size()) {
    for (std::size_t Number = 0; Number < IsEnding.size(); ++Number)
      Deployment.backends()[Number]->setOutcome(
          [this, Number](const http_message &Request) {
            return run(Number, Request);
          });
    for (const auto &Backend : Deployment.backends())
      Backend->setArrivalHandler([this](const http_message &Request) {
        const std::lock_guard Lock(Mutex);
        if (Request.StartLine.find(Path) != std::string::npos)
          FirstArrivals.try_emplace(Request.field("X-Request-Id"),
                                    steady::now());
      });
    Restarter = std::thread([this] { restartCrashed(); });
  }
  crashing_request(const crashing_request &) = delete;
  auto operator=(const crashing_request &) -> crashing_request & = delete;
  ~crashing_request() { stop(); }

  /// Leaves back ends that are down as they are.
  auto stop() -> void {
    Stops = true;
    if (Restarter.joinable())
      Restarter.join();
  }

  auto crashes() const -> std::size_t { return CrashTimes.size(); }

  /// Returns the attempts of the caller that arrived later than the window
  /// after the third crash.
  auto lateRetries() const -> std::size_t {
    if (CrashTimes.size() < CrashesThatCount)
      return 0;
    const auto From = CrashTimes[CrashesThatCount - 1] + StabilityWindow;
    return static_cast<std::size_t>(
        std::count_if(FirstArrivals.begin(), FirstArrivals.end(),
                      [From](const auto &Each) { return Each.second > From; }));
  }

private:
  auto run(const std::size_t Number, const http_message &Request) -> int {
    if (Request.StartLine.find(Path) == std::string::npos)
      return 200;
    std::this_thread::sleep_for(WorkTime);
    if (!Crashes)
      return 200;
    Deployment.backends()[Number]->closePort();
    const std::lock_guard Lock(Mutex);
    if (!IsEnding[Number]) {
      IsEnding[Number] = true;
      CrashTimes.push_back(steady::now());
      Ended.push_back(Number);
    }
    return backend::NoAnswer;
  }

  auto takeEnded() -> std::vector<std::size_t> {
    const std::lock_guard Lock(Mutex);
    return std::exchange(Ended, {});
  }

  auto restartCrashed() -> void {
    std::vector<std::pair<steady::time_point, std::size_t>> Due;
    while (!Stops) {
      for (const std::size_t Number : takeEnded()) {
        Deployment.backends()[Number]->crash();
        Record.write("crashed " + Deployment.backends()[Number]->id());
        Due.emplace_back(steady::now() + DownTime, Number);
      }
      std::erase_if(Due, [this](const auto &Each) {
        if (steady::now() < Each.first ||
            !Deployment.backends()[Each.second]->start())
          return false;
        Record.write("back " + Deployment.backends()[Each.second]->id());
        const std::lock_guard Lock(Mutex);
        IsEnding[Each.second] = false;
        return true;
      });
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  small_deployment &Deployment;
  case_record &Record;
  milliseconds WorkTime;
  bool Crashes;
  std::mutex Mutex;
  std::vector<bool> IsEnding; ///< by back end: it has crashed and isn't back
  std::vector<std::size_t> Ended;                          ///< to be closed
  std::map<std::string, steady::time_point> FirstArrivals; ///< by id
  std::vector<steady::time_point> CrashTimes;
  std::atomic<bool> Stops{false};
  std::thread Restarter;
};

} // namespace review
