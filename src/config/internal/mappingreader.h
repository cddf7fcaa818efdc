#pragma once

#include "config/internal/faultlist.h"
#include "global/types/time.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::config {

/// A closed interval of whole numbers.
struct int_range {
  std::int64_t Min;
  std::int64_t Max;
};

/// A closed interval of times.
struct time_range {
  microseconds Min;
  microseconds Max;
};

/// Whether faults quote the text that they refer to; not where it may be a
/// secret.
enum class quoting { Shown, Hidden };

/// Reader of one YAML mapping, which adds its faults to a list: unknown,
/// missing or duplicate keys and values that are malformed or out of range.
class mapping_reader {
public:
  /// \p Context names the mapping in faults, such as "contract search".
  mapping_reader(const YAML::Node &Mapping, std::string Context,
                 std::initializer_list<std::string_view> KnownKeys,
                 fault_list &Faults, quoting Quoting = quoting::Shown);

  /// Returns whether the node is a mapping; if not, the constructor added a
  /// fault.
  auto valid() const -> bool { return Mapping.IsMap(); }

  /// Returns the node under \p Key, or nothing.
  auto find(std::string_view Key) const -> std::optional<YAML::Node>;

  /// Like find(), but adds a fault when the key is missing.
  auto require(std::string_view Key) -> std::optional<YAML::Node>;

  /// Reads a required name of letters, digits and `-_.`; returns an empty text
  /// after a fault.
  auto readName(std::string_view Key) -> std::string;

  /// Each of these reads an optional value; \p Value stays unchanged when the
  /// key is missing or its value invalid.
  auto readInt(std::string_view Key, int_range Range, int &Value) -> void;
  auto readSize(std::string_view Key, int_range Range, std::size_t &Value)
      -> void;
  auto readShare(std::string_view Key, double &Value) -> void;
  /// Reads a number from 0 to \p Max.
  auto readNumber(std::string_view Key, double Max, double &Value) -> void;
  auto readBool(std::string_view Key, bool &Value) -> void;
  auto readTime(std::string_view Key, time_range Range, microseconds &Value)
      -> void;
  auto readTime(std::string_view Key, time_range Range, milliseconds &Value)
      -> void;

  /// Returns the index of the value in \p Choices, or nothing.
  auto readChoice(std::string_view Key,
                  std::initializer_list<std::string_view> Choices)
      -> std::optional<std::size_t>;

  /// Adds a fault at the value of \p Key, or at the mapping if the key is
  /// missing.
  auto reject(std::string_view Key, result_code Code, std::string Detail)
      -> void;

  auto name() const -> const std::string & { return Context; }

private:
  auto checkKeys(std::initializer_list<std::string_view> KnownKeys) -> void;
  auto scalar(std::string_view Key) -> std::optional<std::string>;
  /// Returns \p Text as part of a fault: \p Before and the quoted text, or
  /// nothing.
  auto quote(std::string_view Before, std::string_view Text) const
      -> std::string;

  YAML::Node Mapping;
  std::string Context;
  fault_list &Faults;
  quoting Quoting;
};

/// Returns whether \p Text is a valid object name: 1 to 64 letters, digits
/// and `-_.`.
auto isName(std::string_view Text) -> bool;

/// Returns the name under \p Key of a mapping for use in fault texts; "?" when
/// it is missing or invalid.
auto nameForFaults(const YAML::Node &Node, const char *Key = "id")
    -> std::string;

} // namespace tarragon::config
