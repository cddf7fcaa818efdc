#pragma once

#include "bench/core/audit.h"
#include "bench/core/cluster.h"
#include "bench/core/loadclient.h"
#include "bench/core/naiveclient.h"
#include "bench/core/schedule.h"

#include <json/value.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::bench {

struct session_options {
  cluster_settings Cluster;
  milliseconds Length{40000}; ///< of the whole measurement
  milliseconds NaiveDeadline{600};
  load_settings Load;
};

/// The end of an experiment. It failed when anything was broken.
struct experiment_result {
  Json::Value Figures; ///< of the product; "baseline" holds the naive ones
  std::vector<std::string> Broken;
};

/// Something done to the processes while load is played.
struct timed_action {
  milliseconds At{0}; ///< after the window's begin
  std::function<void()> Do;
};

/// What every experiment needs: processes, both clients, the audit.
class session {
public:
  session(session_options Options, topology Topology);

  /// Starts everything and sends a few requests first. An error text, or
  /// nothing.
  auto start() -> std::optional<std::string>;

  auto loop() -> event_loop & { return Loop; }
  auto processes() -> cluster & { return Cluster; }
  auto client() -> load_client & { return Client; }
  auto naive() -> naive_client & { return Naive; }
  auto audit() -> promise_audit & { return Audit; }
  auto length() const -> milliseconds { return Options.Length; }

  /// \p Plan with a label and a seed of its own.
  auto nextSchedule(schedule_plan Plan) -> std::vector<scheduled_call>;

  /// A window of load on the product; its records go to the audit.
  auto playProduct(const schedule_plan &Plan) -> std::vector<call_record>;
  auto playNaive(const schedule_plan &Plan) -> std::vector<call_record>;

  /// Broken promises of the baseline's answers: what it costs to be naive.
  auto checkNaive(const std::vector<call_record> &Records) -> broken_promises;

  /// The same while \p Actions are carried out.
  auto playProductWith(const schedule_plan &Plan,
                       const std::vector<timed_action> &Actions)
      -> std::vector<call_record>;

  /// Records of the product made otherwise.
  auto keep(const std::vector<call_record> &Records) -> void;

  /// Adds counts of requests and broken promises. \p CheckItems is for
  /// contracts that the audit can compute.
  auto finish(Json::Value Figures, bool CheckItems = true) -> experiment_result;
  auto broken() const -> const broken_promises & { return Broken; }

private:
  /// A line for each answer in answers.log, for looking into a run.
  auto writeRecords() const -> void;

  session_options Options;
  event_loop Loop;
  cluster Cluster;
  load_client Client;
  naive_client Naive;
  promise_audit Audit;
  std::vector<call_record> Kept;
  std::size_t NaiveRequests = 0;
  std::uint64_t Windows = 0;
  broken_promises Broken;
};

} // namespace tarragon::bench
