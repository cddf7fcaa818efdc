#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::route {

/// The length of one record in bytes.
constexpr std::size_t RecordBytes = 16;

/// Returns up to \p MaxRecords of the greatest records of all \p Parts in
/// descending order, compared as unsigned bytes. Equal records are kept; an
/// incomplete record at the end of a part is ignored.
auto mergeGreatest(const std::vector<std::string_view> &Parts,
                   std::size_t MaxRecords) -> std::string;

} // namespace tarragon::route
