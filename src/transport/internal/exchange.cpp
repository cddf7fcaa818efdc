#include "transport/internal/exchange.h"

#include <strings.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace tarragon::transport {

namespace {

auto trimmed(std::string_view Text) -> std::string_view {
  const auto First = Text.find_first_not_of(" \t\r\n");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r\n") - First + 1);
}

/// Returns the value of the echo header, or an empty string if \p Line is
/// another header.
auto echoIn(const std::string_view Line) -> std::string_view {
  constexpr std::size_t NameLength = sizeof EchoHeader - 1;
  if (Line.size() <= NameLength || Line[NameLength] != ':')
    return {};
  if (strncasecmp(Line.data(), EchoHeader, NameLength) != 0)
    return {};
  return trimmed(Line.substr(NameLength + 1));
}

} // namespace

exchange::exchange(CURL *const Handle, http_call Call,
                   http_client::completion Done)
    : Handle(Handle), Call(std::move(Call)), Done(std::move(Done)) {
  prepare();
}

exchange::~exchange() {
  curl_slist_free_all(Headers);
  if (Handle)
    curl_easy_cleanup(Handle);
}

auto exchange::releaseHandle() -> CURL * {
  CURL *const Released = Handle;
  Handle = nullptr;
  return Released;
}

auto exchange::prepare() -> void {
  const std::string Url = "http://" + Call.To + Call.Path;
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(
                       1, static_cast<std::int64_t>(Call.Timeout.count()))));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &exchange::onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &exchange::onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  if (Call.FreshConnection) {
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
  }
  prepareBody();
  Headers = curl_slist_append(Headers, "Content-Type: application/json");
  Headers = curl_slist_append(Headers, "Expect:");
  // Pistache servers close the connection without this header.
  Headers = curl_slist_append(Headers, "Connection: keep-alive");
  for (const std::string &Header : Call.Headers)
    Headers = curl_slist_append(Headers, Header.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers);
}

auto exchange::prepareBody() -> void {
  if (Call.Method != "POST") {
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
    return;
  }
  curl_easy_setopt(Handle, CURLOPT_POST, 1L);
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(Call.Body.size()));
  if (!Call.NeverResend) {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Call.Body.c_str());
    return;
  }
  // libcurl resends a POST by itself if a reused connection dies before the
  // first byte of the reply, but not if it can't rewind the body.
  curl_easy_setopt(Handle, CURLOPT_READFUNCTION, &exchange::onUpload);
  curl_easy_setopt(Handle, CURLOPT_READDATA, this);
}

auto exchange::onUpload(char *const Data, const std::size_t Size,
                        const std::size_t Count, void *const Self)
    -> std::size_t {
  auto &Exchange = *static_cast<exchange *>(Self);
  const std::string &Body = Exchange.Call.Body;
  const std::size_t Left = Body.size() - Exchange.Uploaded;
  const std::size_t Bytes = std::min(Left, Size * Count);
  std::memcpy(Data, Body.data() + Exchange.Uploaded, Bytes);
  Exchange.Uploaded += Bytes;
  return Bytes;
}

auto exchange::onBody(char *const Data, const std::size_t Size,
                      const std::size_t Count, void *const Self)
    -> std::size_t {
  auto &Exchange = *static_cast<exchange *>(Self);
  Exchange.Reply.Body.append(Data, Size * Count);
  return Size * Count;
}

auto exchange::onHeader(char *const Data, const std::size_t Size,
                        const std::size_t Count, void *const Self)
    -> std::size_t {
  auto &Exchange = *static_cast<exchange *>(Self);
  Exchange.HeaderSeen = true;
  const std::string_view Line(Data, Size * Count);
  const auto Echo = echoIn(Line);
  if (!Echo.empty() && !Exchange.Call.ExpectedEcho.empty()) {
    Exchange.EchoSeen = Echo == Exchange.Call.ExpectedEcho;
    Exchange.Mismatched = !Exchange.EchoSeen;
  }
  const bool HeadersEnd = trimmed(Line).empty();
  if (HeadersEnd && !Exchange.Call.ExpectedEcho.empty() && !Exchange.EchoSeen)
    Exchange.Mismatched = true;
  // A smaller count makes libcurl abort the transfer and close the connection.
  return Exchange.Mismatched ? 0 : Size * Count;
}

auto exchange::endOf(const CURLcode Code) const -> call_end {
  if (Mismatched)
    return call_end::Mismatched;
  if (Code == CURLE_OK)
    return call_end::Replied;
  long RequestBytes = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
  if (RequestBytes == 0)
    return call_end::NotSent;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return call_end::TimedOut;
  return HeaderSeen ? call_end::ClosedDuringReply : call_end::ClosedBeforeReply;
}

auto exchange::finish(const CURLcode Code) -> void {
  Reply.End = endOf(Code);
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Reply.Status = static_cast<int>(Status);
  Done(std::move(Reply));
}

} // namespace tarragon::transport
