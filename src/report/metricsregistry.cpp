#include "report/metricsregistry.h"

#include <sstream>

namespace tarragon::report {

namespace {

auto escaped(const std::string &Text) -> std::string {
  std::string Result;
  for (const char Letter : Text) {
    if (Letter == '\n') {
      Result += "\\n";
      continue;
    }
    if (Letter == '"' || Letter == '\\')
      Result += '\\';
    Result += Letter;
  }
  return Result;
}

/// Labels as they stand between the braces.
auto labelText(const metric_labels &Labels) -> std::string {
  std::string Text;
  for (const metric_label &Label : Labels) {
    if (!Text.empty())
      Text += ',';
    Text += Label.Name + "=\"" + escaped(Label.Value) + '"';
  }
  return Text;
}

auto braced(const std::string &Labels) -> std::string {
  return Labels.empty() ? "" : '{' + Labels + '}';
}

auto seconds(const microseconds Time) -> double {
  return std::chrono::duration<double>(Time).count();
}

auto writeSummary(std::ostream &Stream, const std::string &Name,
                  const std::string &Labels,
                  const latency_summary::reading &Reading) -> void {
  const std::string Prefix = Labels.empty() ? "" : Labels + ',';
  for (const auto &Quantile : Reading.Quantiles)
    Stream << Name << '{' << Prefix << "quantile=\"" << Quantile.Share << "\"} "
           << seconds(Quantile.Latency) << '\n';
  Stream << Name << "_sum" << braced(Labels) << ' ' << seconds(Reading.Sum)
         << '\n';
  Stream << Name << "_count" << braced(Labels) << ' ' << Reading.Count << '\n';
}

template <class Families>
auto findOrMake(Families &All, const std::string &Name,
                const metric_labels &Labels) -> auto & {
  auto &Slot = All[Name][labelText(Labels)];
  using metric = typename std::remove_reference_t<decltype(Slot)>::element_type;
  if (!Slot)
    Slot = std::make_unique<metric>();
  return *Slot;
}

template <class Families>
auto writeValues(std::ostream &Stream, const Families &All,
                 const std::string_view Type) -> void {
  for (const auto &[Name, Family] : All) {
    Stream << "# TYPE " << Name << ' ' << Type << '\n';
    for (const auto &[Labels, Metric] : Family)
      Stream << Name << braced(Labels) << ' ' << Metric->value() << '\n';
  }
}

} // namespace

auto metrics_registry::counter(const std::string &Name,
                               const metric_labels &Labels)
    -> metric_counter & {
  const std::lock_guard Guard(Lock);
  return findOrMake(Counters, Name, Labels);
}

auto metrics_registry::gauge(const std::string &Name,
                             const metric_labels &Labels) -> metric_gauge & {
  const std::lock_guard Guard(Lock);
  return findOrMake(Gauges, Name, Labels);
}

auto metrics_registry::summary(const std::string &Name,
                               const metric_labels &Labels)
    -> latency_summary & {
  const std::lock_guard Guard(Lock);
  return findOrMake(Summaries, Name, Labels);
}

auto metrics_registry::rotate() -> void {
  const std::lock_guard Guard(Lock);
  for (auto &[Name, Family] : Summaries)
    for (auto &[Labels, Summary] : Family)
      Summary->rotate();
}

auto metrics_registry::exposition() const -> std::string {
  constexpr int Digits = 12;
  std::ostringstream Stream;
  Stream.precision(Digits);
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
