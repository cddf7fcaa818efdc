#pragma once

#include <string>

namespace tarragon::gateway {

/// Names of the headers defined by the query tier. The names differ between
/// installations, the semantics don't.
struct header_names {
  std::string RequestId;
  std::string Deadline;       ///< remaining time in milliseconds
  std::string ExpectedTarget; ///< id of the only target that may execute it
  std::string Stamp;          ///< set by a target on a response it computed
  std::string NotRun;         ///< set by a target that executed nothing
  std::string PartStamps;     ///< stamps of the parts of a merged answer
  std::string MissingParts;   ///< number of parts missing from a merged answer
  std::string Leaving;        ///< "1" from a target that is about to stop
  std::string Key;            ///< a caller's key of its account
  std::string Account;        ///< name of the account, for targets
  std::string ColdFor;        ///< remaining cold time of a target in ms
  std::string Load;           ///< load of a target at the end of its answer
};

} // namespace tarragon::gateway
