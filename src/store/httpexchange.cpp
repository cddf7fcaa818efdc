#include "store/httpexchange.h"

#include <memory>
namespace tarragon::store {

namespace {

/// Bounds the memory used by a reply that never ends.
constexpr std::size_t MaxReplyBytes = 64'000'000;

using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

/// Write callback of libcurl; returning 0 aborts the transfer.
auto appendBody(const char *const Data, const std::size_t Size,
                const std::size_t Count, void *const UserData) -> std::size_t {
  auto &Body = *static_cast<std::string *>(UserData);
  const std::size_t Length = Size * Count;
  if (Body.size() + Length > MaxReplyBytes)
    return 0;
  Body.append(Data, Length);
  return Length;
}

/// Progress callback, which libcurl invokes at least about once a second. A
/// nonzero result aborts the transfer.
auto abortIfInterrupted(void *const Flag, curl_off_t, curl_off_t, curl_off_t,
                        curl_off_t) -> int {
  return static_cast<const std::atomic<bool> *>(Flag)->load() ? 1 : 0;
}

auto addHeader(header_list &Headers, const std::string &Line) -> void {
  curl_slist *const Extended = curl_slist_append(Headers.get(), Line.c_str());
  if (Extended == nullptr)
    return;
  static_cast<void>(Headers.release());
  Headers.reset(Extended);
}

auto makeHeaders(const exchange_request &Request) -> header_list {
  header_list Headers(nullptr, &curl_slist_free_all);
  addHeader(Headers, "Expect:");
  addHeader(Headers, "Content-Type: application/octet-stream");
  if (!Request.Authorization.empty())
    addHeader(Headers, "Authorization: " + Request.Authorization);
  for (const std::string &Header : Request.Headers)
    addHeader(Headers, Header);
  return Headers;
}

auto setOptions(CURL *const Handle, const exchange_request &Request,
                curl_slist *const Headers, std::string &Body) -> void {
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Request.ConnectTimeout.count()));
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Body);
  if (Request.Interrupted != nullptr) {
    curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &abortIfInterrupted);
    curl_easy_setopt(Handle, CURLOPT_XFERINFODATA,
                     const_cast<std::atomic<bool> *>(Request.Interrupted));
  }
  if (Request.Method != "GET" && Request.Method != "DELETE") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.c_str());
  }
  if (!Request.Write)
    return;
  // If a reused connection turns out to be dead, libcurl resends the request,
  // which would send the write twice.
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
}

/// Returns whether no byte of the request can have reached the server.
auto neverConnected(CURL *const Handle, const CURLcode Code) -> bool {
  if (Code == CURLE_COULDNT_CONNECT || Code == CURLE_URL_MALFORMAT ||
      Code == CURLE_COULDNT_RESOLVE_HOST)
    return true;
  curl_off_t ConnectedAfter = 0;
  curl_off_t PretransferAfter = 0;
  curl_easy_getinfo(Handle, CURLINFO_CONNECT_TIME_T, &ConnectedAfter);
  curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T, &PretransferAfter);
  return Code == CURLE_OPERATION_TIMEDOUT && ConnectedAfter == 0 &&
         PretransferAfter == 0;
}

} // namespace

auto runExchange(CURL *const Handle, const exchange_request &Request)
    -> exchange_reply {
  exchange_reply Reply;
  const header_list Headers = makeHeaders(Request);
  setOptions(Handle, Request, Headers.get(), Reply.Body);
  const CURLcode Code = curl_easy_perform(Handle);
  if (Code != CURLE_OK) {
    Reply.Error = curl_easy_strerror(Code);
    Reply.State = neverConnected(Handle, Code) ? exchange_state::NotSent
                                               : exchange_state::NoReply;
    return Reply;
  }
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Reply.Status = static_cast<int>(Status);
  Reply.State = exchange_state::Replied;
  return Reply;
}

} // namespace tarragon::store
