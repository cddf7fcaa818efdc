#pragma once

#include "transport/linkloop.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace tarragon::transport {

/// One call on its way: the library's handle with all that it points to.
class exchange {
public:
  exchange(CURL *Handle, http_call Call, link_loop::completion Done);
  ~exchange();
  exchange(const exchange &) = delete;
  auto operator=(const exchange &) -> exchange & = delete;

  auto handle() const -> CURL * { return Handle; }

  /// Gives the handle back for another exchange.
  auto releaseHandle() -> CURL *;

  /// Tells the caller how it ended.
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
  link_loop::completion Done;
  curl_slist *Headers = nullptr;
  std::size_t Uploaded = 0;
  bool HeaderSeen = false;
  bool EchoSeen = false;
  bool Mismatched = false;
  http_reply Reply;
};

} // namespace tarragon::transport
