#pragma once

#include "transport/internal/headerrecorder.h"

#include <memory>
#include <string>
#include <vector>

namespace tarragon::transport {

/// Request parser that records each occurrence of some headers.
class recording_parser : public Pistache::Http::RequestParser {
public:
  /// \p Names must outlive the parser.
  recording_parser(const std::size_t MaxBytes,
                   const std::vector<std::string> &Names)
      : ParserImpl(MaxBytes) {
    auto Step = std::make_unique<header_recorder>(&request, Names);
    Recorder = Step.get();
    allSteps[HeadersAt] = std::move(Step);
  }

  auto reset() -> void override {
    ParserImpl::reset();
    Recorder->clear();
  }

  /// Returns the recorded headers of the current request.
  auto recorded() const -> const std::vector<http_header> & {
    return Recorder->recorded();
  }

private:
  static constexpr std::size_t HeadersAt = 1; ///< after the request line

  header_recorder *Recorder = nullptr;
};

} // namespace tarragon::transport
