#pragma once

#include "global/types/time.h"

#include <array>
#include <cstdint>

namespace tarragon::placement {

/// What an extra attempt is for; the less needed, the earlier it is denied.
enum class extra_purpose {
  Hedge, ///< the first attempt may still be answered
  Retry  ///< the first attempt ended without an answer
};

/// The limits on extra attempts at one service, over all instances.
struct retry_limits {
  double Ratio = 0.2; ///< extra attempts a request
  double Slack = 0;   ///< further ones in a window, all instances
  milliseconds Window{10000};
  int Instances = 1; ///< that share the slack

  auto operator==(const retry_limits &) const -> bool = default;
};

/// This instance's part of the extra attempts at one service.
///
/// Hedges get what retries lately left: under the load "targets shed part of
/// their requests" a retry brings a part that would be missing, a hedge only
/// an earlier one. Any span of a window's length counts, and a restarted
/// instance has forgotten what it spent: the slack of a young one grows with
/// its age. Not locked.
class retry_budget {
public:
  retry_budget(retry_limits Limits, time_point BornAt);

  auto setLimits(retry_limits NewLimits) -> void { Limits = NewLimits; }

  /// A request for the service came.
  auto addRequest(time_point Now) -> void;

  /// Takes one extra attempt if there is room for it.
  auto take(extra_purpose Purpose, time_point Now) -> bool;

  /// The part of what may be spent on \p Purpose that is left, from 0 to 1.
  auto left(extra_purpose Purpose, time_point Now) -> double;

private:
  static constexpr std::size_t Slices = 20;
  struct slice {
    std::int64_t Number = -1;
    double Requests = 0;
    double Extra = 0;
    double RetriesWanted = 0; ///< denied ones too
  };
  struct sums {
    double Requests = 0;
    double Extra = 0;
    double RetriesWanted = 0;
  };

  auto current(time_point Now) -> slice &;
  auto sum(time_point Now) const -> sums;
  auto sliceNumber(time_point Now) const -> std::int64_t;
  auto allowance(extra_purpose Purpose, const sums &Sums, time_point Now) const
      -> double;

  retry_limits Limits;
  time_point BornAt;
  std::array<slice, Slices + 1> Ring;
};

} // namespace tarragon::placement
