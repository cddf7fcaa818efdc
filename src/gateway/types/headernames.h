#pragma once

#include <string>

namespace tarragon::gateway {

/// The names of the headers that carry the tier's own terms. They differ
/// between installations; their meaning doesn't.
struct header_names {
  std::string RequestId;
  std::string Deadline;       ///< milliseconds that are left
  std::string ExpectedTarget; ///< id of the target that alone may run it
  std::string Stamp;          ///< a target's mark of its run
  std::string NotRun;         ///< a target's word that it ran nothing
  std::string PartStamps;     ///< marks of the parts of a merged answer
  std::string MissingParts;   ///< parts that it lacks
};

} // namespace tarragon::gateway
