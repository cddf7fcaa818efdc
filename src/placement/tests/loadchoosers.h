#pragma once

#include "placement/targetset.h"
#include "placement/tests/loadsimulation.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace tarragon::placement {

/// Chooses with the target_set of each instance. Without \p Reports, targets
/// report no load.
class set_chooser : public load_simulation::chooser {
public:
  set_chooser(const load_simulation::settings &Settings, bool Reports);

  auto choose(int Instance, int Service, int Tried, microseconds Median,
              time_point Now) -> int override;
  auto onSent(int Instance, int Target, time_point Now) -> void override;
  auto onTold(int Instance, int Target, const told_load &Load,
              time_point MeasuredAt) -> void override;
  auto onEnded(int Instance, int Target, attempt_end End, microseconds Latency,
               microseconds Median, time_point Now) -> void override;

  auto set(const int Instance) -> target_set & {
    return *Sets[static_cast<std::size_t>(Instance)];
  }

private:
  bool Reports;
  int TargetCount;
  std::vector<std::string> Services;
  std::vector<std::string> Ids;
  std::vector<std::unique_ptr<target_set>> Sets; ///< by instance
};

/// A way to choose from the last report of each target and from what was sent
/// since, for comparison only.
class rule_chooser : public load_simulation::chooser {
public:
  struct candidate {
    int Number = 0; ///< within the service
    bool IsOwnDomain = false;
    bool HasReport = false;
    told_load Told;
    double AgeS = 0;
    int InSystem = 0; ///< reported, and sent since
    double OwnCost = 0;

    auto free() const -> double { return Told.Slots - InSystem; }
    auto pace() const -> double { return Told.Pace > 0 ? Told.Pace : 1; }
    /// The time until a new attempt ends, in runs, with own domain first among
    /// equal ones.
    auto time() const -> double {
      return (1 + InSystem) * pace() * (IsOwnDomain ? 0.99 : 1);
    }
  };
  using candidates = std::vector<candidate>;
  /// Returns the index of the chosen candidate; there is at least one.
  using rule = std::function<std::size_t(const candidates &, int Instance,
                                         int Service, std::mt19937_64 &Random)>;

  rule_chooser(const load_simulation::settings &Settings, rule Rule);

  auto choose(int Instance, int Service, int Tried, microseconds Median,
              time_point Now) -> int override;
  auto onSent(int Instance, int Target, time_point Now) -> void override;
  auto onTold(int Instance, int Target, const told_load &Load,
              time_point MeasuredAt) -> void override;
  auto onEnded(int Instance, int Target, attempt_end End, microseconds Latency,
               microseconds Median, time_point Now) -> void override;

private:
  struct state {
    target_health Health;
    told_load Told;
    time_point ToldAt;
    int SentSince = 0;
    bool HasReport = false;
  };

  auto stateOf(const int Instance, const int Target) -> state & {
    return States[static_cast<std::size_t>(Instance * Stride + Target)];
  }

  int TargetCount;
  int Stride;
  rule Rule;
  std::vector<state> States;
  std::vector<std::mt19937_64> Randoms; ///< by instance
};

/// Returns the alternatives with their names.
auto alternativeRules()
    -> std::vector<std::pair<std::string, rule_chooser::rule>>;

/// Chooses by the load at this moment, which no instance can know: a bound.
class exact_chooser : public load_simulation::chooser {
public:
  explicit exact_chooser(const load_simulation::settings &Settings)
      : TargetCount(Settings.Targets) {}

  auto setSimulation(const load_simulation &NewSimulation) -> void {
    Simulation = &NewSimulation;
  }
  auto choose(int Instance, int Service, int Tried, microseconds Median,
              time_point Now) -> int override;
  auto onSent(int, int, time_point) -> void override {}
  auto onTold(int, int, const told_load &, time_point) -> void override {}
  auto onEnded(int, int, attempt_end, microseconds, microseconds, time_point)
      -> void override {}

private:
  int TargetCount;
  const load_simulation *Simulation = nullptr;
};

} // namespace tarragon::placement
