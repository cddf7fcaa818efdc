#include "gateway/internal/requesthead.h"

#include "gateway/internal/accountheaders.h"
#include "gateway/internal/answerwriter.h"

#include <boost/beast/core/string.hpp>

namespace tarragon::gateway::internal {

namespace {

auto isSetByTier(const std::string &Name, const header_names &Names) -> bool {
  using boost::beast::iequals;
  return iequals(Name, Names.Deadline) || iequals(Name, Names.ExpectedTarget) ||
         iequals(Name, "expect");
}

} // namespace

auto requestHead(const caller_request &Request, const header_names &Names,
                 const forwarded_account Account) -> std::string {
  std::string Head =
      Request.Method + ' ' + Request.RequestTarget + " HTTP/1.1\r\n";
  for (const header_field &Field : forwardedHeaders(Request.Headers))
    if (!isSetByTier(Field.Name, Names) &&
        !(Account.Applies && isAccountHeader(Field.Name, Names)))
      Head += Field.Name + ": " + Field.Value + "\r\n";
  if (Account.Account)
    Head += Names.Account + ": " + Account.Account->Name + "\r\n";
  if (Request.HasBody)
    Head += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  return Head;
}

} // namespace tarragon::gateway::internal
