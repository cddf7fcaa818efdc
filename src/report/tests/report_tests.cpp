#define BOOST_TEST_MODULE report
#include <boost/test/unit_test.hpp>

#include "report/burntracker.h"
#include "report/metricsregistry.h"

#include <thread>

using namespace std::chrono_literals;
using tarragon::microseconds;
using tarragon::time_point;
namespace report = tarragon::report;

namespace {

auto makeContract(const std::string &Id) -> tarragon::contract {
  tarragon::contract Contract;
  Contract.Id = Id;
  Contract.Objective = {100ms, 0.9, 0.99};
  return Contract;
}

auto contains(const std::string &Text, const std::string &Substring) -> bool {
  return Text.find(Substring) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(exposition_lists_every_series) {
  report::metrics_registry Registry;
  Registry.counter("tarragon_queries_total", {{"contract", "a\"b\\"}}).add(3);
  Registry.gauge("tarragon_queue").set(2.5);
  auto &Summary = Registry.summary("tarragon_latency_seconds");
  Summary.observe(1500us);
  const std::string Text = Registry.exposition();
  BOOST_TEST(contains(Text,
                      "# TYPE tarragon_queries_total counter\n"
                      "tarragon_queries_total{contract=\"a\\\"b\\\\\"} 3\n"));
  BOOST_TEST(contains(Text, "tarragon_queue 2.5\n"));
  BOOST_TEST(
      contains(Text, "tarragon_latency_seconds{quantile=\"0.5\"} 0.0015\n"));
  BOOST_TEST(contains(Text, "tarragon_latency_seconds_sum 0.0015\n"));
  BOOST_TEST(contains(Text, "tarragon_latency_seconds_count 1\n"));
}

BOOST_AUTO_TEST_CASE(quantiles_of_a_uniform_sequence_are_accurate) {
  report::latency_summary Summary;
  for (int Step = 0; Step < 10000; ++Step)
    Summary.observe(microseconds((Step * 7919) % 10000));
  const auto Reading = Summary.read();
  BOOST_REQUIRE(Reading.Quantiles.size() == 4U);
  for (const auto &Quantile : Reading.Quantiles) {
    const auto Rank = static_cast<double>(Quantile.Latency.count()) / 10000;
    BOOST_TEST(std::abs(Rank - Quantile.Share) < 0.02);
  }
}

BOOST_AUTO_TEST_CASE(quantiles_cover_one_window_and_counts_all) {
  report::latency_summary Summary;
  Summary.observe(1s);
  Summary.rotate();
  Summary.observe(1ms);
  BOOST_TEST((Summary.read().Quantiles[0].Latency == 1s));
  Summary.rotate();
  BOOST_TEST((Summary.read().Quantiles[0].Latency == 1ms));
  BOOST_TEST(Summary.read().Count == 2U);
}

BOOST_AUTO_TEST_CASE(registry_is_thread_safe) {
  report::metrics_registry Registry;
  const auto Work = [&Registry] {
    for (int Step = 0; Step < 1000; ++Step) {
      Registry.counter("c").add();
      Registry.summary("s").observe(1us);
      if (Step % 100 == 0)
        Registry.exposition();
    }
  };
  std::thread Other(Work);
  Work();
  Other.join();
  BOOST_TEST(Registry.counter("c").value() == 2000U);
  BOOST_TEST(Registry.summary("s").read().Count == 2000U);
}

BOOST_AUTO_TEST_CASE(burn_rate_is_misses_over_budget) {
  report::burn_tracker Tracker;
  Tracker.setContracts({makeContract("search")});
  const time_point Start{10h};
  for (int Request = 0; Request < 100; ++Request)
    Tracker.record("search", Request < 20 ? 101ms : 100ms, Request != 0, Start);
  Tracker.record("unknown", 1s, false, Start);
  const auto Rows = Tracker.report(Start);
  BOOST_REQUIRE(Rows.size() == 1U);
  BOOST_TEST(Rows[0].Short.Requests == 100U);
  BOOST_TEST(Rows[0].Short.LatencyBurn == 2.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Rows[0].Long.CoverageBurn == 1.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Rows[0].LatencyBudgetLeft == -1.0,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(burn_windows_slide) {
  report::burn_tracker Tracker;
  Tracker.setContracts({makeContract("search")});
  const time_point Start{10h};
  Tracker.record("search", 1s, true, Start);
  BOOST_TEST(Tracker.report(Start + 4min)[0].Short.LatencyMisses == 1U);
  BOOST_TEST(Tracker.report(Start + 5min)[0].Short.LatencyMisses == 0U);
  BOOST_TEST(Tracker.report(Start + 59min)[0].Long.LatencyMisses == 1U);
  BOOST_TEST(Tracker.report(Start + 60min)[0].Long.LatencyMisses == 0U);
  // A later bucket reuses this one's position in the ring.
  Tracker.record("search", 1ms, true, Start + 60min);
  BOOST_TEST(Tracker.report(Start + 60min)[0].Long.Requests == 1U);
}

BOOST_AUTO_TEST_CASE(contracts_keep_counts_when_the_configuration_changes) {
  report::burn_tracker Tracker;
  Tracker.setContracts({makeContract("a"), makeContract("b")});
  const time_point Start{1h};
  Tracker.record("a", 1ms, true, Start);
  Tracker.setContracts({makeContract("a"), makeContract("c")});
  const auto Rows = Tracker.report(Start);
  BOOST_REQUIRE(Rows.size() == 2U);
  BOOST_TEST(Rows[0].Long.Requests == 1U);
  BOOST_TEST(Rows[1].Contract == "c");
}

BOOST_AUTO_TEST_CASE(merged_reports_equal_the_report_of_one_tracker) {
  report::burn_tracker Left;
  report::burn_tracker Right;
  report::burn_tracker Whole;
  const time_point Start{1h};
  for (auto *Tracker : {&Left, &Right, &Whole})
    Tracker->setContracts({makeContract("search")});
  for (int Request = 0; Request < 50; ++Request) {
    auto &Tracker = Request % 3 == 0 ? Left : Right;
    const auto Latency = Request % 5 == 0 ? 200ms : 20ms;
    Tracker.record("search", Latency, Request % 7 != 0, Start);
    Whole.record("search", Latency, Request % 7 != 0, Start);
  }
  const auto Merged =
      report::mergeBurn({Left.report(Start), Right.report(Start)});
  BOOST_TEST((Merged == Whole.report(Start)));
}
