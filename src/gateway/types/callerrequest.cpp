#include "gateway/types/callerrequest.h"

#include "global/hash.h"

namespace tarragon::gateway {

auto fingerprintOf(const caller_request &Request) -> std::uint64_t {
  return hash64(Request.Method + ' ' + Request.Host + Request.RequestTarget +
                '\n' + Request.Body);
}

} // namespace tarragon::gateway
