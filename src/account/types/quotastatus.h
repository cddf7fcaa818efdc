#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::account {

/// State of the shared quotas at one instance, for operators.
struct quota_status {
  struct row {
    std::string Account;
    double Rate = 0;
    double Level = 0; ///< less than 0 after an overdraft
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
  };

  std::size_t Heard = 0;  ///< peers that hold a share and are heard
  std::size_t Silent = 0; ///< peers whose share is reserved
  bool KnowsLevels = false;
  double Fraction = 1; ///< of the rates at which the buckets refill
  std::vector<row> Rows;
};

} // namespace tarragon::account
