#include "transport/httpresponder.h"

#include "global/log.h"
#include "transport/internal/responderchannel.h"
#include "transport/internal/retryafter.h"

namespace tarragon::transport {

auto http_responder::channel::send(const int Status, const std::string &Body,
                                   const char *const MimeType,
                                   const std::optional<milliseconds> RetryAfter)
    -> void {
  try {
    if (RetryAfter)
      Writer.headers().add<retry_after>(*RetryAfter);
    Writer.setMime(Pistache::Http::Mime::MediaType::fromString(MimeType));
    Writer.send(static_cast<Pistache::Http::Code>(Status), Body);
  } catch (const std::exception &Error) {
    // The client has disconnected: the response is dropped.
    log::write(log::level::Debug, log::part::Transport, "response not sent",
               {{"reason", Error.what()}});
  }
}

http_responder::http_responder(std::unique_ptr<channel> Channel)
    : Channel(std::move(Channel)) {}

http_responder::http_responder(http_responder &&) noexcept = default;

auto http_responder::operator=(http_responder &&) noexcept
    -> http_responder & = default;

http_responder::~http_responder() {
  if (Channel)
    send(500, R"({"code":602,"result":"internal"})");
}

auto http_responder::send(const int Status, const std::string &Body,
                          const char *const MimeType,
                          const std::optional<milliseconds> RetryAfter)
    -> void {
  if (!Channel)
    return;
  const auto Used = std::move(Channel);
  Used->send(Status, Body, MimeType, RetryAfter);
}

} // namespace tarragon::transport
