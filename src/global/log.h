#pragma once

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

/// Sets the lowest level written and the form of lines. Lines go to stderr.
auto setUp(level Lowest, format Form) -> void;

/// Writes one line: prefix, sentence, fields.
auto write(level Level, part Part, std::string_view Sentence,
           std::initializer_list<field> Fields = {}) -> void;

/// The fixed prefix of \p Part.
auto prefix(part Part) -> std::string_view;

} // namespace tarragon::log
