#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace tarragon::log {

enum class level { Debug, Info, Warning, Error };
enum class format { Text, Json };

/// The part of the program a line comes from; its fixed prefix.
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

/// A named value behind the sentence of a line.
struct field {
  std::string_view Name;
  std::string Value;
};

/// Sets the lowest level written and the form of lines. Lines go to stdout and
/// never wait for its reader: those that find no room are dropped and counted.
auto setUp(level Lowest, format Form) -> void;

/// Bounds the lines below Warning to \p Lines a second, with as many ahead.
auto setRate(std::size_t Lines) -> void;

/// Lines dropped so far, for want of room or beyond the rate.
auto dropped() -> std::uint64_t;

/// Writes one line: prefix, sentence, fields.
auto write(level Level, part Part, std::string_view Sentence,
           std::initializer_list<field> Fields = {}) -> void;

/// The fixed prefix of \p Part.
auto prefix(part Part) -> std::string_view;

} // namespace tarragon::log
