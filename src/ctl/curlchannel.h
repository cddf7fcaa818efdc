#pragma once

#include "ctl/ientrychannel.h"

#include <memory>

namespace tarragon::ctl {

/// Channel that calls entries over HTTP and uses the system's steady clock; a
/// model of
/// entry_channel.
class curl_channel {
public:
  curl_channel();
  ~curl_channel();
  curl_channel(const curl_channel &) = delete;
  auto operator=(const curl_channel &) -> curl_channel & = delete;

  auto send(const entry_call &Call, milliseconds Timeout) -> entry_reply;
  auto now() -> time_point;
  auto pause(milliseconds Wait) -> void;

private:
  struct handle;
  std::unique_ptr<handle> Handle;
};

static_assert(entry_channel<curl_channel>);

} // namespace tarragon::ctl
