#include "gateway/types/headerfield.h"

#include <boost/beast/core/string.hpp>

namespace tarragon::gateway {

auto findField(const header_fields &Fields, const std::string_view Name)
    -> const std::string * {
  for (const header_field &Field : Fields)
    if (boost::beast::iequals(Field.Name, {Name.data(), Name.size()}))
      return &Field.Value;
  return nullptr;
}

auto fieldOrEmpty(const header_fields &Fields, const std::string_view Name)
    -> std::string {
  const std::string *Value = findField(Fields, Name);
  return Value ? *Value : std::string();
}

} // namespace tarragon::gateway
