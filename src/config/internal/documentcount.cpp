#include "config/internal/documentcount.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/parser.h>

#include <sstream>

namespace tarragon::config {

namespace {

/// Discards all parser events.
class ignore_events : public YAML::EventHandler {
public:
  auto OnDocumentStart(const YAML::Mark &) -> void override {}
  auto OnDocumentEnd() -> void override {}
  auto OnNull(const YAML::Mark &, YAML::anchor_t) -> void override {}
  auto OnAlias(const YAML::Mark &, YAML::anchor_t) -> void override {}
  auto OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) -> void override {}
  auto OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) -> void override {}
  auto OnSequenceEnd() -> void override {}
  auto OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) -> void override {}
  auto OnMapEnd() -> void override {}
};

} // namespace

// YAML::LoadAll never returns for some texts: a stray token makes it find the
// same empty document repeatedly. So at most two documents are parsed.
auto isOneDocument(const std::string &Text) -> bool {
  std::istringstream Stream(Text);
  YAML::Parser Parser(Stream);
  ignore_events Events;
  return Parser.HandleNextDocument(Events) &&
         !Parser.HandleNextDocument(Events);
}

} // namespace tarragon::config
