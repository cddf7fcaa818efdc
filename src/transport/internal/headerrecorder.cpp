#include "transport/internal/headerrecorder.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace tarragon::transport {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view Blanks = " \t";

auto trimmed(std::string_view Text) -> std::string_view {
  const auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

} // namespace

header_recorder::header_recorder(Pistache::Http::Message *const Message,
                                 const std::vector<std::string> &Names)
    : HeadersStep(Message), Names(Names) {}

auto header_recorder::apply(Pistache::StreamCursor &Cursor)
    -> Pistache::Http::Private::State {
  if (Names.empty())
    return HeadersStep::apply(Cursor);
  // The step moves the cursor past the headers that it has parsed; at the end
  // of incomplete input it may move it back.
  const Pistache::StreamCursor::Token Consumed(Cursor);
  const auto State = HeadersStep::apply(Cursor);
  if (Consumed.end() > Consumed.start())
    record(Consumed.text());
  return State;
}

auto header_recorder::record(std::string_view Lines) -> void {
  while (!Lines.empty()) {
    const auto End = std::min(Lines.find(LineEnd), Lines.size());
    recordLine(Lines.substr(0, End));
    Lines.remove_prefix(std::min(End + LineEnd.size(), Lines.size()));
  }
}

auto header_recorder::recordLine(const std::string_view Line) -> void {
  const auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  const std::string_view Name = Line.substr(0, Colon);
  for (const std::string &Known : Names)
    if (boost::algorithm::iequals(Name, Known))
      Recorded.push_back({Known, std::string(trimmed(Line.substr(Colon + 1)))});
}

} // namespace tarragon::transport
