#include "gateway/internal/accountheaders.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>

namespace tarragon::gateway::internal {

namespace {

auto isSpellingOf(const std::string_view Name, const std::string_view Known)
    -> bool {
  const auto Normalized = [](const char Character) {
    return Character == '_' ? '-'
                            : static_cast<char>(std::tolower(
                                  static_cast<unsigned char>(Character)));
  };
  return std::equal(Name.begin(), Name.end(), Known.begin(), Known.end(),
                    [&](const char Left, const char Right) {
                      return Normalized(Left) == Normalized(Right);
                    });
}

} // namespace

auto findKey(const header_fields &Fields, const header_names &Names)
    -> presented_key {
  const std::string *Value = nullptr;
  for (const header_field &Field : Fields) {
    if (!boost::beast::iequals(Field.Name, Names.Key))
      continue;
    if (Value)
      return {{}, "repeated"};
    Value = &Field.Value;
  }
  if (!Value)
    return {{}, "missing"};
  if (Value->empty())
    return {{}, "empty"};
  return {*Value, {}};
}

auto isAccountHeader(const std::string_view Name, const header_names &Names)
    -> bool {
  return isSpellingOf(Name, Names.Key) || isSpellingOf(Name, Names.Account);
}

} // namespace tarragon::gateway::internal
