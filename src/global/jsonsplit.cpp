#include "global/jsonsplit.h"

#include <algorithm>

namespace tarragon {

namespace {

constexpr std::string_view Space = " \t\r\n";

auto skipSpace(const std::string_view Text, const std::size_t At)
    -> std::size_t {
  return std::min(Text.find_first_not_of(Space, At), Text.size());
}

/// Returns the index behind the string that starts at \p At, or npos.
auto skipString(const std::string_view Text, std::size_t At) -> std::size_t {
  for (++At; At < Text.size(); ++At) {
    if (Text[At] == '\\')
      ++At;
    else if (Text[At] == '"')
      return At + 1;
  }
  return std::string_view::npos;
}

/// Returns the index behind the value that starts at \p At, or npos.
auto skipValue(const std::string_view Text, std::size_t At) -> std::size_t {
  std::size_t Depth = 0;
  const std::size_t Begin = At;
  while (At < Text.size()) {
    const char Character = Text[At];
    const bool Opens = Character == '{' || Character == '[';
    const bool Closes = Character == '}' || Character == ']';
    if (Depth == 0 && (Closes || Character == ','))
      break;
    if (Character == '"') {
      At = skipString(Text, At);
      if (At == std::string_view::npos)
        return At;
    } else {
      ++At;
    }
    Depth += Opens ? 1 : 0;
    Depth -= Closes ? 1 : 0;
  }
  return Depth == 0 && At > Begin ? At : std::string_view::npos;
}

auto trimmed(std::string_view Text) -> std::string_view {
  const auto Last = Text.find_last_not_of(Space);
  return Text.substr(0, Last == std::string_view::npos ? 0 : Last + 1);
}

auto malformed(const std::size_t At) -> failure {
  return fail(result_code::MalformedRequest,
              "JSON is malformed at byte " + std::to_string(At));
}

} // namespace

auto splitJson(const std::string_view Text)
    -> result<std::vector<json_member>> {
  std::vector<json_member> Members;
  std::size_t At = skipSpace(Text, 0);
  if (At == Text.size() || (Text[At] != '{' && Text[At] != '['))
    return malformed(At);
  const bool IsObject = Text[At] == '{';
  const char Close = IsObject ? '}' : ']';
  At = skipSpace(Text, At + 1);
  if (At < Text.size() && Text[At] == Close)
    return skipSpace(Text, At + 1) == Text.size()
               ? result<std::vector<json_member>>(Members)
               : malformed(At);
  while (true) {
    json_member Member;
    if (IsObject) {
      if (At == Text.size() || Text[At] != '"')
        return malformed(At);
      const std::size_t End = skipString(Text, At);
      if (End == std::string_view::npos)
        return malformed(At);
      Member.Name = Text.substr(At + 1, End - At - 2);
      At = skipSpace(Text, End);
      if (At == Text.size() || Text[At] != ':')
        return malformed(At);
      At = skipSpace(Text, At + 1);
    }
    const std::size_t End = skipValue(Text, At);
    if (End == std::string_view::npos)
      return malformed(At);
    Member.Value = trimmed(Text.substr(At, End - At));
    Members.push_back(Member);
    if (End == Text.size())
      return malformed(End);
    if (Text[End] == Close)
      return skipSpace(Text, End + 1) == Text.size()
                 ? result<std::vector<json_member>>(std::move(Members))
                 : malformed(End);
    if (Text[End] != ',')
      return malformed(End);
    At = skipSpace(Text, End + 1);
  }
}

auto findMember(const std::vector<json_member> &Members,
                const std::string_view Name) -> std::string_view {
  const auto Found = std::find_if(
      Members.begin(), Members.end(),
      [Name](const json_member &Member) { return Member.Name == Name; });
  return Found == Members.end() ? std::string_view() : Found->Value;
}

} // namespace tarragon
