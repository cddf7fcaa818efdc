#pragma once

#include "transport/types/httpheader.h"

#include <pistache/http.h>

#include <string>
#include <vector>

namespace tarragon::transport {

/// Parser step that also records each occurrence of some headers. Pistache
/// keeps only the first header of a name, so that a repeated one can't be
/// noticed in the request.
class header_recorder : public Pistache::Http::Private::HeadersStep {
public:
  header_recorder(Pistache::Http::Message *Message,
                  const std::vector<std::string> &Names);

  auto apply(Pistache::StreamCursor &Cursor)
      -> Pistache::Http::Private::State override;

  auto recorded() const -> const std::vector<http_header> & { return Recorded; }
  auto clear() -> void { Recorded.clear(); }

private:
  auto record(std::string_view Lines) -> void;
  auto recordLine(std::string_view Line) -> void;

  const std::vector<std::string> &Names;
  std::vector<http_header> Recorded;
};

} // namespace tarragon::transport
