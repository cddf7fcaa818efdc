#include "gateway/queryrefusals.h"

#include "global/log.h"
#include "placement/types/admissiondecision.h"
#include "report/metricsregistry.h"

namespace tarragon::gateway {

namespace {

constexpr milliseconds LogInterval{1000};

} // namespace

query_refusals::query_refusals(report::metrics_registry &Metrics)
    : Counter(Metrics.counter("tarragon_refused_total",
                              {{"why", "not likely in time"}})) {}

auto query_refusals::record(const std::string &Route,
                            const std::string &RequestId,
                            const placement::admission_decision &Decision,
                            const time_point Now) -> void {
  Counter.add();
  ++Count;
  if (LoggedAt && Now < *LoggedAt + LogInterval)
    return;
  log::write(log::level::Info, log::part::Admission,
             "query refused: not likely in time",
             {{"request", RequestId},
              {"route", Route},
              {"probability", std::to_string(Decision.Probability)},
              {"needed", std::to_string(Decision.Needed)},
              {"service", Decision.Service},
              {"ahead", std::to_string(Decision.Ahead)},
              {"expected_ms", std::to_string(Decision.Expected.count())},
              {"retry_after_ms", std::to_string(Decision.RetryAfter.count())},
              {"refused", std::to_string(Count - LoggedCount)}});
  LoggedAt = Now;
  LoggedCount = Count;
}

} // namespace tarragon::gateway
