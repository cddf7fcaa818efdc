#include "gateway/types/exchangeanswer.h"

#include <boost/beast/core/string.hpp>

namespace tarragon::gateway {

auto exchange_answer::find(const std::string_view Name) const
    -> const std::string * {
  for (const header_field &Field : Headers)
    if (boost::beast::iequals(Field.Name, {Name.data(), Name.size()}))
      return &Field.Value;
  return nullptr;
}

} // namespace tarragon::gateway
