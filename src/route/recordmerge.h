#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::route {

/// The length of one record in bytes.
constexpr std::size_t RecordBytes = 16;

/// The greatest \p Most records of all \p Parts, greatest first, compared byte
/// by byte. Equal records all count; a remainder of a part is no record.
auto mergeGreatest(const std::vector<std::string_view> &Parts, std::size_t Most)
    -> std::string;

} // namespace tarragon::route
