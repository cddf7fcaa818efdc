#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace tarragon::log {

enum class level { Debug, Info, Warning, Error };
enum class format { Text, Json };

/// The part of the program that writes a line; its fixed prefix.
enum class part {
  Global,
  Config,
  Platform,
  Membership,
  Admission,
  Query,
  Once,
  Transport,
  Report,
  Entry,
  Tool
};

/// A named value, written after the message of a line.
struct field {
  std::string_view Name;
  std::string Value;
};

/// Sets the minimum level and the format of lines. Writing to stdout never
/// blocks: a line is dropped and counted if stdout can't accept it.
auto configure(level Minimum, format Format) -> void;

/// Limits the lines below Warning to \p LinesPerSecond, with bursts of up to as
/// many lines, half of which lines of part Query can't use.
auto setMaxLinesPerSecond(std::size_t LinesPerSecond) -> void;

/// Returns the number of lines dropped so far, by the rate limit or because
/// stdout couldn't accept them.
auto dropped() -> std::uint64_t;

/// Writes one line: the prefix, \p Message, then the fields. Thread-safe.
auto write(level Level, part Part, std::string_view Message,
           std::initializer_list<field> Fields = {}) -> void;

/// Returns the fixed prefix of \p Part.
auto prefix(part Part) -> std::string_view;

} // namespace tarragon::log
