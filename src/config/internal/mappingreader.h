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

/// A closed range of whole numbers.
struct int_range {
  std::int64_t Least;
  std::int64_t Most;
};

/// A closed range of times.
struct time_range {
  microseconds Least;
  microseconds Most;
};

/// Reads the values of one YAML mapping. Every fault goes to the list: a key
/// that is unknown, missing or double, a value that is out of its range.
class mapping_reader {
public:
  /// \p What names the mapping in faults, such as "contract search".
  mapping_reader(const YAML::Node &Mapping, std::string What,
                 std::initializer_list<std::string_view> KnownKeys,
                 fault_list &Faults);

  /// Whether the node is a mapping at all; a fault was added when not.
  auto valid() const -> bool { return Mapping.IsMap(); }

  /// The node under \p Key, or nothing.
  auto find(std::string_view Key) const -> std::optional<YAML::Node>;

  /// As find, with a fault when the key is missing.
  auto require(std::string_view Key) -> std::optional<YAML::Node>;

  /// A required name of letters, digits and `-_.`; empty after a fault.
  auto readName(std::string_view Key) -> std::string;

  /// Each of these leaves \p Value alone when the key is missing or wrong.
  auto readInt(std::string_view Key, int_range Range, int &Value) -> void;
  auto readSize(std::string_view Key, int_range Range, std::size_t &Value)
      -> void;
  auto readShare(std::string_view Key, double &Value) -> void;
  auto readBool(std::string_view Key, bool &Value) -> void;
  auto readTime(std::string_view Key, time_range Range, microseconds &Value)
      -> void;
  auto readTime(std::string_view Key, time_range Range, milliseconds &Value)
      -> void;

  /// The position of the value among \p Choices, or nothing.
  auto readChoice(std::string_view Key,
                  std::initializer_list<std::string_view> Choices)
      -> std::optional<std::size_t>;

  /// Adds a fault at the value of \p Key, or at the mapping without it.
  auto reject(std::string_view Key, result_code Code, std::string Detail)
      -> void;

  auto name() const -> const std::string & { return What; }

private:
  auto checkKeys(std::initializer_list<std::string_view> KnownKeys) -> void;
  auto scalar(std::string_view Key) -> std::optional<std::string>;

  YAML::Node Mapping;
  std::string What;
  fault_list &Faults;
};

/// Whether \p Text may name an object: 1 to 64 letters, digits and `-_.`.
auto isName(std::string_view Text) -> bool;

/// The name under `id` of a mapping, "?" when it can't be read. For faults.
auto nameForFaults(const YAML::Node &Node) -> std::string;

} // namespace tarragon::config
