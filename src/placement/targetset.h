#pragma once

#include "placement/targetstate.h"
#include "route/targetbook.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragon::placement {

/// All targets with what is believed of them; chooses one for each attempt.
/// Not locked.
class target_set {
public:
  /// \p OwnDomain is preferred among about equal targets.
  explicit target_set(std::string OwnDomain);

  auto book() -> route::target_book & { return Book; }
  auto book() const -> const route::target_book & { return Book; }

  /// Takes what a change of the book means.
  auto apply(const route::target_book::changes &Changes, time_point Now)
      -> void;

  /// Bounds the work in flight at each target of a service, for the share of
  /// its connections that one of \p Instances has.
  auto setConnectionLimits(std::map<std::string, int> MostOfService,
                           int Instances) -> void;

  /// The best target of \p Service that isn't in \p Tried, or null.
  auto choose(const std::string &Service, const std::vector<std::string> &Tried,
              microseconds Typical, time_point Now)
      -> const route::target_entry *;

  /// Whether every target of \p Service is down, or there is none.
  auto lost(const std::string &Service, microseconds Typical,
            time_point Now) const -> bool;

  /// What a request to the best target of \p Service should expect to wait.
  auto expectedWait(const std::string &Service, microseconds Typical,
                    time_point Now) const -> microseconds;

  /// When a target of \p Service that is blocked gets its next chance.
  auto nextChance(const std::string &Service, time_point Now) const
      -> milliseconds;

  auto state(const std::string &Id) -> target_state & { return States[Id]; }

  /// How many instances share each target's connections.
  auto instances() const -> int { return Instances; }

  /// This instance's share of the connections of a target of \p Service.
  auto connectionShare(const std::string &Service) const -> int;

private:
  auto setShares(const route::target_entry &Entry) -> void;

  std::string OwnDomain;
  route::target_book Book;
  std::unordered_map<std::string, target_state> States; ///< by target
  std::map<std::string, int> MostOfService;
  int Instances = 1;
  std::size_t Turn = 0; ///< spreads equal choices
};

} // namespace tarragon::placement
