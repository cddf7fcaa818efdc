#pragma once

#include "global/types/time.h"

#include <string>
#include <vector>

namespace tarragon::placement {

/// Whether a query is admitted, with the inputs that decided.
struct admission_decision {
  bool IsAdmitted = true;
  double Probability = 1;     ///< that enough parts are answered in time
  double Needed = 0;          ///< the probability required
  std::string Service;        ///< the one whose part is least likely in time
  int Ahead = 0;              ///< open parts of that service
  milliseconds Expected{0};   ///< expected time to its answer
  milliseconds RetryAfter{0}; ///< when to retry, if refused
  /// Services whose slots are in use and whose part is not likely in time.
  std::vector<std::string> Unlikely;
};

} // namespace tarragon::placement
