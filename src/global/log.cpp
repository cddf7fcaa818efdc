#include "global/log.h"

#include "global/internal/outputsink.h"
#include "global/linelimiter.h"

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

std::atomic<format> CurrentFormat{format::Text};
std::atomic<level> MinLevel{level::Debug};

std::mutex LimiterLock; // rank 95: a leaf, no lock is acquired under it
line_limiter Limiter{std::numeric_limits<std::size_t>::max()};
std::atomic<std::uint64_t> RateLimitedLines{0};

auto sink() -> internal::output_sink & {
  static const auto Backend = boost::make_shared<internal::output_sink>();
  static const auto Frontend = [] {
    namespace sinks = boost::log::sinks;
    auto NewFrontend =
        boost::make_shared<sinks::synchronous_sink<internal::output_sink>>(
            Backend);
    NewFrontend->set_formatter(boost::log::expressions::stream
                               << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(NewFrontend);
    return NewFrontend;
  }();
  return *Backend;
}

/// Returns nothing if the line is over the rate limit, otherwise the number of
/// lines rejected since the last call that returned a number. Warnings and
/// errors are always admitted. Lines of requests leave half of the burst to
/// others: under a flood of failed requests, changes of state were not logged.
auto admitLine(const level Level, const part Part)
    -> std::optional<std::uint64_t> {
  const std::lock_guard Lock(LimiterLock);
  const bool Urgent = Level == level::Warning || Level == level::Error;
  const double Reserved = Part == part::Query ? Limiter.capacity() / 2 : 0;
  if (!Urgent &&
      !Limiter.tryAcquire(std::chrono::steady_clock::now(), Reserved)) {
    RateLimitedLines.fetch_add(1);
    return std::nullopt;
  }
  return Limiter.takeRejected();
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

auto unixTimeMs() -> Json::Int64 {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

auto textLine(const level Level, const part Part,
              const std::string_view Message,
              const std::initializer_list<field> Fields) -> std::string {
  std::string Line = std::to_string(unixTimeMs());
  Line += ' ';
  Line += levelName(Level);
  Line += ' ';
  Line += prefix(Part);
  Line += ": ";
  Line += Message;
  for (const field &Field : Fields) {
    Line += ' ';
    Line += Field.Name;
    Line += '=';
    Line += Field.Value;
  }
  return Line;
}

auto jsonLine(const level Level, const part Part,
              const std::string_view Message,
              const std::initializer_list<field> Fields) -> std::string {
  Json::Value Object;
  Object["time_ms"] = unixTimeMs();
  Object["level"] = std::string(levelName(Level));
  Object["part"] = std::string(prefix(Part));
  Object["message"] = std::string(Message);
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

/// Writes a line without applying the rate limit.
auto emit(const level Level, const part Part, const std::string_view Message,
          const std::initializer_list<field> Fields) -> void {
  auto Record =
      logger().open_record(boost::log::keywords::severity = severity(Level));
  if (!Record)
    return;
  const bool Json = CurrentFormat.load() == format::Json;
  boost::log::record_ostream Stream(Record);
  Stream << (Json ? jsonLine(Level, Part, Message, Fields)
                  : textLine(Level, Part, Message, Fields));
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

auto configure(const level Minimum, const format Format) -> void {
  CurrentFormat = Format;
  MinLevel = Minimum;
  sink();
}

auto setMaxLinesPerSecond(const std::size_t LinesPerSecond) -> void {
  const std::lock_guard Lock(LimiterLock);
  Limiter = line_limiter(LinesPerSecond);
}

auto dropped() -> std::uint64_t {
  return RateLimitedLines.load() + sink().dropped();
}

auto write(const level Level, const part Part, const std::string_view Message,
           const std::initializer_list<field> Fields) -> void {
  // The level is checked first, so that a suppressed line uses no part of the
  // rate and is not formatted.
  if (Level < MinLevel.load())
    return;
  const auto Rejected = admitLine(Level, Part);
  if (!Rejected)
    return;
  if (*Rejected > 0)
    emit(level::Warning, part::Global, "log lines dropped by the rate limit",
         {{"count", std::to_string(*Rejected)}});
  emit(Level, Part, Message, Fields);
}

} // namespace tarragon::log
