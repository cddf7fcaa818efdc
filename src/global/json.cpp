#include "global/json.h"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace tarragon {

namespace {

/// Returns the maximum nesting depth of brackets outside strings.
auto nestingDepth(const std::string_view Text) -> std::size_t {
  std::size_t Depth = 0;
  std::size_t MaxNesting = 0;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Character = Text[Index];
    if (InString && Character == '\\') {
      ++Index;
      continue;
    }
    if (Character == '"')
      InString = !InString;
    if (InString)
      continue;
    if (Character == '{' || Character == '[')
      MaxNesting = std::max(MaxNesting, ++Depth);
    if ((Character == '}' || Character == ']') && Depth > 0)
      --Depth;
  }
  return MaxNesting;
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

auto parseJson(const std::string_view Text, const std::size_t MaxDepth)
    -> result<Json::Value> {
  // Checked before parsing: the parser recurses, and throws if the text is
  // nested too deeply.
  if (nestingDepth(Text) > MaxDepth)
    return fail(result_code::TooDeep,
                "JSON is nested deeper than " + std::to_string(MaxDepth));
  thread_local const std::unique_ptr<Json::CharReader> Reader = makeReader();
  Json::Value Value;
  std::string Errors;
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
      return fail(result_code::MalformedRequest, Errors);
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
