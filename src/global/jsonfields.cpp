#include "global/jsonfields.h"

#include <json/json.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace tarragon {

namespace {

/// Receives the parser's events; each returns whether to go on.
class field_reader {
public:
  explicit field_reader(const json_fields &Fields) : Fields(Fields) {}

  // The parser expects these names.
  // NOLINTBEGIN(readability-identifier-naming)
  auto null() -> bool { return put(Json::Value()); }
  auto boolean(const bool Value) -> bool { return put(Value); }
  auto number_integer(const std::int64_t Value) -> bool {
    return put(Json::Int64{Value});
  }
  auto number_unsigned(const std::uint64_t Value) -> bool {
    return std::in_range<std::int64_t>(Value)
               ? put(Json::Int64{static_cast<std::int64_t>(Value)})
               : put(Json::UInt64{Value});
  }
  auto number_float(const double Value, const std::string &) -> bool {
    return put(Value);
  }
  auto string(const std::string &Text) -> bool {
    if (Name.empty())
      return put(Json::Value());
    if (Text.size() > Fields.MaxTextBytes)
      return stop(result_code::MalformedRequest,
                  "member \"" + Name + "\" is too long");
    return put(Text);
  }
  auto binary(const std::vector<std::uint8_t> &) -> bool { return false; }

  auto key(const std::string &Key) -> bool {
    Name.clear();
    if (Depth == 1 && std::find(Fields.Names.begin(), Fields.Names.end(),
                                Key) != Fields.Names.end())
      Name = Key;
    return true;
  }
  auto start_object(std::size_t) -> bool { return begin(true); }
  auto start_array(std::size_t) -> bool { return begin(false); }
  auto end_object() -> bool { return end(); }
  auto end_array() -> bool { return end(); }

  auto parse_error(const std::size_t At, const std::string &,
                   const nlohmann::detail::exception &) -> bool {
    return stop(result_code::MalformedRequest,
                "JSON is malformed at byte " + std::to_string(At));
  }
  // NOLINTEND(readability-identifier-naming)

  auto values() const -> const Json::Value & { return Values; }
  auto error() const -> const failure & { return Error; }

private:
  auto put(Json::Value Value) -> bool {
    if (Depth == 0)
      return stop(result_code::MalformedRequest, "JSON object expected");
    if (Name.empty())
      return true;
    if (Values.isMember(Name))
      return stop(result_code::MalformedRequest,
                  "member \"" + Name + "\" occurs twice");
    Values[Name] = std::move(Value);
    Name.clear();
    return true;
  }

  auto begin(const bool IsObject) -> bool {
    if (Depth == 0 && !IsObject)
      return stop(result_code::MalformedRequest, "JSON object expected");
    if (!Name.empty())
      return stop(result_code::MalformedRequest,
                  "member \"" + Name + "\" is an array or an object");
    if (++Depth > Fields.MaxDepth)
      return stop(result_code::TooDeep, "JSON is nested deeper than " +
                                            std::to_string(Fields.MaxDepth));
    return true;
  }

  auto end() -> bool {
    --Depth;
    Name.clear();
    return true;
  }

  auto stop(const result_code Code, std::string Detail) -> bool {
    Error = fail(Code, std::move(Detail));
    return false;
  }

  const json_fields &Fields;
  std::size_t Depth = 0;
  std::string Name; ///< of the member whose value follows; empty if not kept
  Json::Value Values{Json::objectValue};
  failure Error{result_code::MalformedRequest, {}};
};

} // namespace

auto readJsonFields(const std::string_view Text, const json_fields &Fields)
    -> result<Json::Value> {
  field_reader Reader(Fields);
  if (!nlohmann::json::sax_parse(Text.begin(), Text.end(), &Reader))
    return Reader.error();
  return Reader.values();
}

} // namespace tarragon
