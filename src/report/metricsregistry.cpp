#include "report/metricsregistry.h"

#include <sstream>

namespace tarragon::report {

namespace {

/// Escapes a label value.
auto escape(const std::string &Text) -> std::string {
  std::string Result;
  for (const char Character : Text) {
    if (Character == '\n') {
      Result += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Result += '\\';
    Result += Character;
  }
  return Result;
}

/// Formats labels as they appear between the braces of a series.
auto formatLabels(const metric_labels &Labels) -> std::string {
  std::string Text;
  for (const metric_label &Label : Labels) {
    if (!Text.empty())
      Text += ',';
    Text += Label.Name + "=\"" + escape(Label.Value) + '"';
  }
  return Text;
}

auto inBraces(const std::string &Labels) -> std::string {
  return Labels.empty() ? "" : '{' + Labels + '}';
}

auto toSeconds(const microseconds Time) -> double {
  return std::chrono::duration<double>(Time).count();
}

auto writeSummary(std::ostream &Stream, const std::string &Name,
                  const std::string &Labels,
                  const latency_summary::reading &Reading) -> void {
  const std::string Prefix = Labels.empty() ? "" : Labels + ',';
  for (const auto &Quantile : Reading.Quantiles)
    Stream << Name << '{' << Prefix << "quantile=\"" << Quantile.Share << "\"} "
           << toSeconds(Quantile.Latency) << '\n';
  Stream << Name << "_sum" << inBraces(Labels) << ' ' << toSeconds(Reading.Sum)
         << '\n';
  Stream << Name << "_count" << inBraces(Labels) << ' ' << Reading.Count
         << '\n';
}

template <class Families>
auto findOrCreate(Families &All, const std::string &Name,
                  const metric_labels &Labels) -> auto & {
  auto &Entry = All[Name][formatLabels(Labels)];
  using metric =
      typename std::remove_reference_t<decltype(Entry)>::element_type;
  if (!Entry)
    Entry = std::make_unique<metric>();
  return *Entry;
}

template <class Families>
auto writeValues(std::ostream &Stream, const Families &All,
                 const std::string_view Type) -> void {
  for (const auto &[Name, Family] : All) {
    Stream << "# TYPE " << Name << ' ' << Type << '\n';
    for (const auto &[Labels, Metric] : Family)
      Stream << Name << inBraces(Labels) << ' ' << Metric->value() << '\n';
  }
}

} // namespace

auto metrics_registry::counter(const std::string &Name,
                               const metric_labels &Labels)
    -> metric_counter & {
  const std::lock_guard Guard(Lock);
  return findOrCreate(Counters, Name, Labels);
}

auto metrics_registry::removeCounter(const std::string &Name,
                                     const metric_labels &Labels) -> void {
  const std::lock_guard Guard(Lock);
  const auto Family = Counters.find(Name);
  if (Family != Counters.end())
    Family->second.erase(formatLabels(Labels));
}

auto metrics_registry::gauge(const std::string &Name,
                             const metric_labels &Labels) -> metric_gauge & {
  const std::lock_guard Guard(Lock);
  return findOrCreate(Gauges, Name, Labels);
}

auto metrics_registry::summary(const std::string &Name,
                               const metric_labels &Labels)
    -> latency_summary & {
  const std::lock_guard Guard(Lock);
  return findOrCreate(Summaries, Name, Labels);
}

auto metrics_registry::rotate() -> void {
  const std::lock_guard Guard(Lock);
  for (auto &[Name, Family] : Summaries)
    for (auto &[Labels, Summary] : Family)
      Summary->rotate();
}

auto metrics_registry::exposition() const -> std::string {
  constexpr int SignificantDigits = 12;
  std::ostringstream Stream;
  Stream.precision(SignificantDigits);
  const std::lock_guard Guard(Lock);
  writeValues(Stream, Counters, "counter");
  writeValues(Stream, Gauges, "gauge");
  for (const auto &[Name, Family] : Summaries) {
    Stream << "# TYPE " << Name << " summary\n";
    for (const auto &[Labels, Summary] : Family)
      writeSummary(Stream, Name, Labels, Summary->read());
  }
  return Stream.str();
}

} // namespace tarragon::report
