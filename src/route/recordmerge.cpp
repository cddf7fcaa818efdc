#include "route/recordmerge.h"

#include <algorithm>
#include <functional>

namespace tarragon::route {

auto mergeGreatest(const std::vector<std::string_view> &Parts,
                   const std::size_t MaxRecords) -> std::string {
  std::vector<std::string_view> Records;
  for (const std::string_view Part : Parts)
    for (std::size_t At = 0; At + RecordBytes <= Part.size(); At += RecordBytes)
      Records.push_back(Part.substr(At, RecordBytes));
  const std::size_t Count = std::min(MaxRecords, Records.size());
  const auto End = Records.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Records.begin(), End, Records.end(), std::greater<>());
  std::string Merged;
  Merged.reserve(Count * RecordBytes);
  for (auto Record = Records.begin(); Record != End; ++Record)
    Merged += *Record;
  return Merged;
}

} // namespace tarragon::route
