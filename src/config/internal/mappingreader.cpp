#include "config/internal/mappingreader.h"

#include "config/timetext.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <set>

namespace tarragon::config {

namespace {

constexpr std::size_t MaxNameLength = 64;

template <class Number>
auto parseNumber(const std::string &Text) -> std::optional<Number> {
  Number Value{};
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc{} || Rest != End)
    return std::nullopt;
  return Value;
}

auto quoted(const std::string_view Text) -> std::string {
  constexpr std::size_t MaxQuoteLength = 40;
  std::string Quoted = "`" + std::string(Text.substr(0, MaxQuoteLength));
  return Quoted + (Text.size() > MaxQuoteLength ? "...`" : "`");
}

} // namespace

auto isName(const std::string_view Text) -> bool {
  const auto Allowed = [](const char Letter) {
    return std::isalnum(static_cast<unsigned char>(Letter)) != 0 ||
           Letter == '-' || Letter == '_' || Letter == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

auto nameForFaults(const YAML::Node &Node, const char *const Key)
    -> std::string {
  if (!Node.IsMap())
    return "?";
  const YAML::Node Name = Node[Key];
  return Name && Name.IsScalar() && isName(Name.Scalar()) ? Name.Scalar() : "?";
}

mapping_reader::mapping_reader(
    const YAML::Node &Mapping, std::string Context,
    const std::initializer_list<std::string_view> KnownKeys, fault_list &Faults,
    const quoting Quoting)
    : Mapping(Mapping), Context(std::move(Context)), Faults(Faults),
      Quoting(Quoting) {
  if (valid())
    checkKeys(KnownKeys);
  else
    Faults.add(Mapping, result_code::ConfigMalformed,
               this->Context + ": must be a mapping");
}

auto mapping_reader::quote(const std::string_view Before,
                           const std::string_view Text) const -> std::string {
  return Quoting == quoting::Hidden ? std::string()
                                    : std::string(Before) + quoted(Text);
}

auto mapping_reader::checkKeys(
    const std::initializer_list<std::string_view> KnownKeys) -> void {
  std::set<std::string> Seen;
  for (const auto &Pair : Mapping) {
    const std::string Key = Pair.first.IsScalar() ? Pair.first.Scalar() : "";
    const bool Known =
        std::find(KnownKeys.begin(), KnownKeys.end(), Key) != KnownKeys.end();
    if (!Known)
      Faults.add(Pair.first, result_code::ConfigUnknownKey,
                 Context + ": unknown key" + quote(" ", Key));
    else if (!Seen.insert(Key).second)
      Faults.add(Pair.first, result_code::ConfigDuplicate,
                 Context + ": key " + quoted(Key) + " appears twice");
  }
}

auto mapping_reader::find(const std::string_view Key) const
    -> std::optional<YAML::Node> {
  for (const auto &Pair : Mapping)
    if (Pair.first.IsScalar() && Pair.first.Scalar() == Key)
      return Pair.second;
  return std::nullopt;
}

auto mapping_reader::require(const std::string_view Key)
    -> std::optional<YAML::Node> {
  auto Found = find(Key);
  if (!Found)
    Faults.add(Mapping, result_code::ConfigMissingKey,
               Context + ": key " + quoted(Key) + " is missing");
  return Found;
}

auto mapping_reader::reject(const std::string_view Key, const result_code Code,
                            std::string Detail) -> void {
  Faults.add(find(Key).value_or(Mapping), Code, Context + ": " + Detail);
}

auto mapping_reader::scalar(const std::string_view Key)
    -> std::optional<std::string> {
  const auto Found = find(Key);
  if (!Found)
    return std::nullopt;
  if (Found->IsScalar())
    return Found->Scalar();
  reject(Key, result_code::ConfigMalformed,
         std::string(Key) + " must be a single value");
  return std::nullopt;
}

auto mapping_reader::readName(const std::string_view Key) -> std::string {
  if (!require(Key))
    return {};
  const auto Text = scalar(Key);
  if (!Text)
    return {};
  if (isName(*Text))
    return *Text;
  reject(Key, result_code::ConfigOutOfRange,
         std::string(Key) + " must be 1 to 64 letters, digits and `-_.`" +
             quote(", not ", *Text));
  return {};
}

auto mapping_reader::readInt(const std::string_view Key, const int_range Range,
                             int &Value) -> void {
  auto Size = static_cast<std::size_t>(Value);
  readSize(Key, Range, Size);
  Value = static_cast<int>(Size);
}

auto mapping_reader::readSize(const std::string_view Key, const int_range Range,
                              std::size_t &Value) -> void {
  const auto Text = scalar(Key);
  if (!Text)
    return;
  const auto Number = parseNumber<std::int64_t>(*Text);
  if (Number && *Number >= Range.Min && *Number <= Range.Max) {
    Value = static_cast<std::size_t>(*Number);
    return;
  }
  reject(Key, result_code::ConfigOutOfRange,
         std::string(Key) + " must be a whole number from " +
             std::to_string(Range.Min) + " to " + std::to_string(Range.Max) +
             quote(", not ", *Text));
}

auto mapping_reader::readShare(const std::string_view Key, double &Value)
    -> void {
  const auto Text = scalar(Key);
  if (!Text)
    return;
  const auto Number = parseNumber<double>(*Text);
  if (Number && std::isfinite(*Number) && *Number >= 0 && *Number <= 1) {
    Value = *Number;
    return;
  }
  reject(Key, result_code::ConfigOutOfRange,
         std::string(Key) + " must be a number from 0 to 1" +
             quote(", not ", *Text));
}

auto mapping_reader::readNumber(const std::string_view Key, const double Max,
                                double &Value) -> void {
  const auto Text = scalar(Key);
  if (!Text)
    return;
  const auto Number = parseNumber<double>(*Text);
  if (Number && std::isfinite(*Number) && *Number >= 0 && *Number <= Max) {
    Value = *Number;
    return;
  }
  reject(Key, result_code::ConfigOutOfRange,
         std::string(Key) + " must be a number from 0 to " +
             std::to_string(static_cast<std::int64_t>(Max)) +
             quote(", not ", *Text));
}

auto mapping_reader::readBool(const std::string_view Key, bool &Value) -> void {
  const auto Choice = readChoice(Key, {"false", "true"});
  if (Choice)
    Value = *Choice == 1;
}

auto mapping_reader::readTime(const std::string_view Key,
                              const time_range Range, microseconds &Value)
    -> void {
  const auto Text = scalar(Key);
  if (!Text)
    return;
  const auto Time = parseTime(*Text);
  if (Time && *Time >= Range.Min && *Time <= Range.Max) {
    Value = *Time;
    return;
  }
  reject(Key, result_code::ConfigOutOfRange,
         std::string(Key) + " must be a time from " + formatTime(Range.Min) +
             " to " + formatTime(Range.Max) + " such as `200ms`" +
             quote(", not ", *Text));
}

auto mapping_reader::readTime(const std::string_view Key,
                              const time_range Range, milliseconds &Value)
    -> void {
  microseconds Microseconds = Value;
  readTime(Key, Range, Microseconds);
  const auto Milliseconds =
      std::chrono::duration_cast<milliseconds>(Microseconds);
  if (Milliseconds == Microseconds)
    Value = Milliseconds;
  else
    reject(Key, result_code::ConfigOutOfRange,
           std::string(Key) + " must be whole milliseconds");
}

auto mapping_reader::readChoice(
    const std::string_view Key,
    const std::initializer_list<std::string_view> Choices)
    -> std::optional<std::size_t> {
  const auto Text = scalar(Key);
  if (!Text)
    return std::nullopt;
  const auto Found = std::find(Choices.begin(), Choices.end(), *Text);
  if (Found != Choices.end())
    return static_cast<std::size_t>(Found - Choices.begin());
  std::string Listed;
  for (const std::string_view Choice : Choices)
    Listed += (Listed.empty() ? "" : ", ") + std::string(Choice);
  reject(Key, result_code::ConfigOutOfRange,
         std::string(Key) + " must be one of " + Listed +
             quote(", not ", *Text));
  return std::nullopt;
}

} // namespace tarragon::config
