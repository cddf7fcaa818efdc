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

/// Options of an experiment.
struct session_options {
  cluster_settings Cluster;
  milliseconds Length{40000}; ///< of the entire measurement
  milliseconds NaiveDeadline{600};
  load_settings Load;
};

/// The result of an experiment, which failed if there are violations.
struct experiment_result {
  Json::Value Figures; ///< of the product; "baseline" has the naive client's
  std::vector<std::string> Violations;
};

/// An action on the processes while load is played.
struct timed_action {
  milliseconds At{0}; ///< after the start of the window
  std::function<void()> Do;
};

/// The common parts of an experiment: the processes, both clients and the
/// audit.
class session {
public:
  session(session_options Options, topology Topology);

  /// Starts the processes and plays a warm-up load. Returns an error text, or
  /// nothing on success.
  auto start() -> std::optional<std::string>;

  auto loop() -> event_loop & { return Loop; }
  auto processes() -> cluster & { return Cluster; }
  auto client() -> load_client & { return Client; }
  auto naive() -> naive_client & { return Naive; }
  auto audit() -> invariant_audit & { return Audit; }
  auto length() const -> milliseconds { return Options.Length; }

  /// Returns a schedule for \p Plan with its own label and seed.
  auto nextSchedule(schedule_plan Plan) -> std::vector<scheduled_call>;

  /// Plays a window of load on the product; its records are audited by
  /// finish(). playNaive() does so on the naive client, without an audit.
  auto playProduct(const schedule_plan &Plan) -> std::vector<call_record>;
  auto playNaive(const schedule_plan &Plan) -> std::vector<call_record>;

  /// Returns the violations in the answers of the naive client.
  auto checkNaive(const std::vector<call_record> &Records)
      -> invariant_violations;

  /// As playProduct(), while \p Actions are carried out.
  auto playProductWith(const schedule_plan &Plan,
                       const std::vector<timed_action> &Actions)
      -> std::vector<call_record>;

  /// Adds records of the product that were not made by playProduct().
  auto addRecords(const std::vector<call_record> &Records) -> void;

  /// Audits all records and adds the counts of requests and violations to
  /// \p Figures. \p CheckItems is for contracts whose items the audit can
  /// compute.
  auto finish(Json::Value Figures, bool CheckItems = true) -> experiment_result;
  auto violations() const -> const invariant_violations & { return Violations; }

private:
  /// Writes a line for each answer to answers.log, for diagnosis.
  auto writeRecords() const -> void;

  session_options Options;
  event_loop Loop;
  cluster Cluster;
  load_client Client;
  naive_client Naive;
  invariant_audit Audit;
  std::vector<call_record> AllRecords;
  std::size_t NaiveRequests = 0;
  std::uint64_t Windows = 0;
  invariant_violations Violations;
};

} // namespace tarragon::bench
