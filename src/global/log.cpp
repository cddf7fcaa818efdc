#include "global/log.h"

#include "global/internal/linerate.h"
#include "global/internal/outputsink.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/expressions/formatters/stream.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <json/json.h>

#include <atomic>
#include <chrono>
#include <limits>
#include <mutex>

namespace tarragon::log {

namespace {

namespace trivial = boost::log::trivial;

std::atomic<format> CurrentForm{format::Text};
std::atomic<level> LowestLevel{level::Debug};

std::mutex RateLock; // rank 95: a leaf
internal::line_rate Rate{std::numeric_limits<std::size_t>::max()};
std::atomic<std::uint64_t> BeyondRate{0};

auto sink() -> internal::output_sink & {
  static const auto Backend = boost::make_shared<internal::output_sink>();
  static const auto Frontend = [] {
    namespace sinks = boost::log::sinks;
    auto Made =
        boost::make_shared<sinks::synchronous_sink<internal::output_sink>>(
            Backend);
    Made->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(Made);
    return Made;
  }();
  return *Backend;
}

/// How many lines were refused before this one, or nothing if it is, too.
auto takeRoom(const level Level) -> std::optional<std::uint64_t> {
  const std::lock_guard Lock(RateLock);
  const bool Urgent = Level == level::Warning || Level == level::Error;
  if (!Urgent && !Rate.take(std::chrono::steady_clock::now())) {
    BeyondRate.fetch_add(1);
    return std::nullopt;
  }
  return Rate.takeRefused();
}

auto severity(const level Level) -> trivial::severity_level {
  switch (Level) {
  case level::Debug:
    return trivial::debug;
  case level::Info:
    return trivial::info;
  case level::Warning:
    return trivial::warning;
  case level::Error:
    return trivial::error;
  }
  return trivial::error;
}

auto levelName(const level Level) -> std::string_view {
  return trivial::to_string(severity(Level));
}

auto unixMilliseconds() -> Json::Int64 {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

auto textLine(const level Level, const part Part,
              const std::string_view Sentence,
              const std::initializer_list<field> Fields) -> std::string {
  std::string Line = std::to_string(unixMilliseconds());
  Line += ' ';
  Line += levelName(Level);
  Line += ' ';
  Line += prefix(Part);
  Line += ": ";
  Line += Sentence;
  for (const field &Field : Fields) {
    Line += ' ';
    Line += Field.Name;
    Line += '=';
    Line += Field.Value;
  }
  return Line;
}

auto jsonLine(const level Level, const part Part,
              const std::string_view Sentence,
              const std::initializer_list<field> Fields) -> std::string {
  Json::Value Object;
  Object["time_ms"] = unixMilliseconds();
  Object["level"] = std::string(levelName(Level));
  Object["part"] = std::string(prefix(Part));
  Object["message"] = std::string(Sentence);
  for (const field &Field : Fields)
    Object[std::string(Field.Name)] = Field.Value;
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Object);
}

using logger_type =
    boost::log::sources::severity_logger_mt<trivial::severity_level>;

auto logger() -> logger_type & {
  static logger_type Logger;
  return Logger;
}

/// Writes a line whatever the rate.
auto emit(const level Level, const part Part, const std::string_view Sentence,
          const std::initializer_list<field> Fields) -> void {
  auto Record =
      logger().open_record(boost::log::keywords::severity = severity(Level));
  if (!Record)
    return;
  const bool Json = CurrentForm.load() == format::Json;
  boost::log::record_ostream Stream(Record);
  Stream << (Json ? jsonLine(Level, Part, Sentence, Fields)
                  : textLine(Level, Part, Sentence, Fields));
  Stream.flush();
  logger().push_record(std::move(Record));
}

} // namespace

auto prefix(const part Part) -> std::string_view {
  switch (Part) {
  case part::Global:
    return "global";
  case part::Config:
    return "config";
  case part::Platform:
    return "platform";
  case part::Membership:
    return "membership";
  case part::Admission:
    return "admission";
  case part::Query:
    return "query";
  case part::Once:
    return "once";
  case part::Transport:
    return "transport";
  case part::Report:
    return "report";
  case part::Entry:
    return "entry";
  case part::Tool:
    return "tool";
  }
  return "global";
}

auto setUp(const level Lowest, const format Form) -> void {
  CurrentForm = Form;
  LowestLevel = Lowest;
  sink();
}

auto setRate(const std::size_t Lines) -> void {
  const std::lock_guard Lock(RateLock);
  Rate = internal::line_rate(Lines);
}

auto dropped() -> std::uint64_t { return BeyondRate.load() + sink().dropped(); }

auto write(const level Level, const part Part, const std::string_view Sentence,
           const std::initializer_list<field> Fields) -> void {
  // Filters first, so that a suppressed line costs no room and no formatting.
  if (Level < LowestLevel.load())
    return;
  const auto Refused = takeRoom(Level);
  if (!Refused)
    return;
  if (*Refused > 0)
    emit(level::Warning, part::Global, "lines were dropped",
         {{"count", std::to_string(*Refused)}});
  emit(Level, Part, Sentence, Fields);
}

} // namespace tarragon::log
