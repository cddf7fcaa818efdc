#pragma once

#include "transport/httpclient.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace tarragon::transport {

/// A call in flight: the libcurl handle and the data that it points to. Owns
/// the handle.
class exchange {
public:
  exchange(CURL *Handle, http_call Call, http_client::completion Done);
  ~exchange();
  exchange(const exchange &) = delete;
  auto operator=(const exchange &) -> exchange & = delete;

  auto handle() const -> CURL * { return Handle; }

  /// Releases ownership of the handle, so that it can be reused.
  auto releaseHandle() -> CURL *;

  /// Determines the outcome and calls the completion.
  auto finish(CURLcode Code) -> void;

private:
  static auto onBody(char *Data, std::size_t Size, std::size_t Count,
                     void *Self) -> std::size_t;
  static auto onHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *Self) -> std::size_t;
  static auto onUpload(char *Data, std::size_t Size, std::size_t Count,
                       void *Self) -> std::size_t;

  auto prepare() -> void;
  auto prepareBody() -> void;
  auto endOf(CURLcode Code) const -> call_end;

  CURL *Handle;
  http_call Call;
  http_client::completion Done;
  curl_slist *Headers = nullptr;
  std::size_t Uploaded = 0;
  bool HeaderSeen = false;
  bool EchoSeen = false;
  bool Mismatched = false;
  http_reply Reply;
};

} // namespace tarragon::transport
