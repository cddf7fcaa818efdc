#include "global/json.h"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace tarragon {

namespace {

/// The deepest nesting of brackets outside strings.
auto nestingOf(const std::string_view Text) -> std::size_t {
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  bool Quoted = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const char Letter = Text[At];
    if (Quoted && Letter == '\\') {
      ++At;
      continue;
    }
    if (Letter == '"')
      Quoted = !Quoted;
    if (Quoted)
      continue;
    if (Letter == '{' || Letter == '[')
      Deepest = std::max(Deepest, ++Depth);
    if ((Letter == '}' || Letter == ']') && Depth > 0)
      --Depth;
  }
  return Deepest;
}

auto makeReader() -> std::unique_ptr<Json::CharReader> {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  return std::unique_ptr<Json::CharReader>(Builder.newCharReader());
}

auto makeWriter() -> std::unique_ptr<Json::StreamWriter> {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["emitUTF8"] = true;
  return std::unique_ptr<Json::StreamWriter>(Builder.newStreamWriter());
}

} // namespace

auto parseJson(const std::string_view Text, const std::size_t MostDepth)
    -> result<Json::Value> {
  // Checked ahead: the reader recurses and throws when too deep.
  if (nestingOf(Text) > MostDepth)
    return fail(result_code::TooDeep,
                "JSON nests deeper than " + std::to_string(MostDepth));
  thread_local const std::unique_ptr<Json::CharReader> Reader = makeReader();
  Json::Value Value;
  std::string Faults;
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Faults))
      return fail(result_code::MalformedRequest, Faults);
  } catch (const Json::Exception &Error) {
    return fail(result_code::MalformedRequest, Error.what());
  }
  if (!Value.isObject())
    return fail(result_code::MalformedRequest, "JSON object expected");
  return Value;
}

auto writeJson(const Json::Value &Value) -> std::string {
  thread_local const std::unique_ptr<Json::StreamWriter> Writer = makeWriter();
  std::ostringstream Text;
  Writer->write(Value, &Text);
  return std::move(Text).str();
}

} // namespace tarragon
