#include <boost/test/unit_test.hpp>

#include <json/json.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

namespace {

// The deployment size for which docs/CAPACITY.md is computed.
constexpr double Daemons = 900;
constexpr double Targets = 4500;
constexpr double QueriesPerSecond = 180000;
constexpr double ShardsPerQuery = 540;
constexpr double DomainCount = 8;
constexpr double ConfigsPerDay = 550;
constexpr double FailuresPerDay = 21;
constexpr double RestartsPerDay = 320;
constexpr double SecondsPerDay = 86400;
constexpr double SecondsPerNanosecond = 1e-9;

// Values that the page marks as assumptions.
constexpr double TargetsPerGroup = 3;
constexpr double ConfigBytes = 270000;
constexpr double HttpBytes = 350;
constexpr double TicketsPerSecond = 2;
constexpr double CallerAnswersPerSecond = 2000;
constexpr double RelayCount = 30;
constexpr double CallSeconds = 0.0015;

// Default settings.
constexpr double PeriodsPerSecond = 5;
constexpr double MessagesPerPeriod = 4;
constexpr double UpdatesPerMessage = 16;
constexpr double TicketRetentionSeconds = 2 * 60;
/// Two lists every 1 s plus 5 ms per instance; one watch every 10 s.
constexpr double PlatformReadsPerDaemon = 2 / (1 + 0.005 * 900) + 0.1;

auto openPage(const std::string &Name) -> std::ifstream {
  return std::ifstream(std::string(TARRAGON_SOURCE_DIR) + "/docs/" + Name);
}

/// The records of docs/slopes.json by name.
struct slopes {
  slopes() {
    Json::Value Records;
    openPage("slopes.json") >> Records;
    for (const Json::Value &Record : Records)
      ByName[Record["name"].asString()] = Record;
  }

  auto slope(const std::string &Name) const -> double {
    return ByName.at(Name)["slope"].asDouble();
  }

  auto intercept(const std::string &Name) const -> double {
    return ByName.at(Name)["intercept"].asDouble();
  }

  /// Returns the value measured at \p Size, or NaN if that size was not
  /// measured.
  auto valueAt(const std::string &Name, const double Size) const -> double {
    const Json::Value &Record = ByName.at(Name);
    for (Json::ArrayIndex Index = 0; Index < Record["sizes"].size(); ++Index)
      if (Record["sizes"][Index].asDouble() == Size)
        return Record["values"][Index].asDouble();
    return NAN;
  }

  std::map<std::string, Json::Value> ByName;
};

using figures = std::map<std::string, double>;

auto computeLoad(figures &Figures, const slopes &Slopes) -> void {
  const double Subrequests = QueriesPerSecond * ShardsPerQuery;
  const double SubrequestsPerDaemon = Subrequests / Daemons;
  Figures["subrequests_per_second"] = Subrequests;
  Figures["subrequests_per_daemon"] = SubrequestsPerDaemon;
  Figures["subrequests_per_target"] = Subrequests / Targets;
  Figures["queries_per_daemon"] = QueriesPerSecond / Daemons;
  Figures["tail_share"] = 1 - std::pow(0.99, 1 / ShardsPerQuery);
  Figures["root_cores"] = Figures["queries_per_daemon"] *
                          Slopes.valueAt("root_query_time", ShardsPerQuery) *
                          SecondsPerNanosecond;
  Figures["owner_cores"] = SubrequestsPerDaemon *
                           Slopes.slope("owner_burst_time") *
                           SecondsPerNanosecond;
  Figures["root_codec_cores"] = SubrequestsPerDaemon * SecondsPerNanosecond *
                                (Slopes.slope("dispatch_encode_time") +
                                 Slopes.slope("settle_decode_time"));
  Figures["owner_codec_cores"] = SubrequestsPerDaemon * SecondsPerNanosecond *
                                 (Slopes.slope("dispatch_decode_time") +
                                  Slopes.slope("settle_encode_time"));
  Figures["query_bytes_per_second"] =
      SubrequestsPerDaemon *
      (Slopes.slope("dispatch_bytes") + Slopes.slope("settle_bytes"));
  Figures["direct_batch"] = SubrequestsPerDaemon / (Daemons - 1) * CallSeconds;
  Figures["tree_calls_in"] = QueriesPerSecond * RelayCount / Daemons;
  Figures["tree_batch"] = SubrequestsPerDaemon / RelayCount * CallSeconds;
}

auto computeControlPlane(figures &Figures, const slopes &Slopes) -> void {
  const double Groups = Targets / TargetsPerGroup;
  const double GossipMessagesPerSecond = PeriodsPerSecond * MessagesPerPeriod;
  const double TransmissionsPerUpdate = std::ceil(3 * std::log(Daemons + 1));
  const double UpdatesPerDay = FailuresPerDay * 2 + RestartsPerDay * 3;
  Figures["gossip_bytes_per_second"] =
      GossipMessagesPerSecond * (Slopes.intercept("gossip_bytes") + HttpBytes);
  Figures["gossip_bytes_worst"] =
      GossipMessagesPerSecond *
      (Slopes.intercept("gossip_bytes") + HttpBytes +
       UpdatesPerMessage * Slopes.slope("gossip_bytes"));
  Figures["gossip_core"] =
      SecondsPerNanosecond *
      (PeriodsPerSecond * Slopes.valueAt("member_period_time", Daemons) +
       GossipMessagesPerSecond / 2 *
           Slopes.valueAt("member_ping_time", Daemons) +
       GossipMessagesPerSecond * Slopes.valueAt("gossip_codec_time", 0));
  Figures["member_copy_core"] = SecondsPerNanosecond * 2 *
                                GossipMessagesPerSecond *
                                Slopes.valueAt("member_copy_time", Daemons);
  Figures["member_table_bytes"] =
      Slopes.valueAt("member_table_memory", Daemons);
  Figures["news_bytes_per_second"] = UpdatesPerDay * TransmissionsPerUpdate *
                                     Slopes.slope("gossip_bytes") /
                                     SecondsPerDay;
  Figures["region_loss_news_seconds"] =
      Daemons / 2 * TransmissionsPerUpdate /
      (UpdatesPerMessage * GossipMessagesPerSecond);
  Figures["owner_assignment_ms"] =
      Groups * Slopes.valueAt("owner_choice_time", Daemons) * 1e-6;
  Figures["config_bytes_per_second"] =
      ConfigsPerDay * ConfigBytes / SecondsPerDay;
  Figures["address_core"] = CallerAnswersPerSecond / Daemons *
                            SecondsPerNanosecond *
                            Slopes.valueAt("address_ranking_time", Daemons);
  Figures["platform_reads_per_second"] = Daemons * PlatformReadsPerDaemon;
  Figures["ticket_bytes"] =
      TicketsPerSecond * TicketRetentionSeconds * Slopes.slope("ticket_memory");
  Figures["ledger_handover_bytes"] = Figures["ticket_bytes"] * (Daemons - 1);
  Figures["poison_bytes"] = 1000 * Slopes.slope("poison_memory");
  Figures["domain_loss_daemons"] = Daemons / DomainCount;
}

/// Formats a figure as on the page.
auto formatFigure(const double Value) -> std::string {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3g", Value);
  return Text;
}

/// Returns the second column of each table row whose first cell is a name in
/// backquotes.
auto readPageFigures() -> std::map<std::string, std::string> {
  std::map<std::string, std::string> Rows;
  auto Page = openPage("CAPACITY.md");
  for (std::string Line; std::getline(Page, Line);) {
    std::istringstream Cells(Line);
    std::string Empty, Name, Value;
    std::getline(Cells, Empty, '|');
    std::getline(Cells, Name, '|');
    std::getline(Cells, Value, '|');
    if (Name.starts_with(" `") && Name.ends_with("` "))
      Rows[Name.substr(2, Name.size() - 4)] = Value.substr(1, Value.size() - 2);
  }
  return Rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(capacity_page_matches_the_slopes) {
  const slopes Slopes;
  figures Figures;
  computeLoad(Figures, Slopes);
  computeControlPlane(Figures, Slopes);
  const auto Page = readPageFigures();
  for (const auto &[Name, Value] : Figures) {
    const auto Row = Page.find(Name);
    BOOST_TEST((Row != Page.end() && Row->second == formatFigure(Value)),
               "expected: | `" << Name << "` | " << formatFigure(Value)
                               << " |");
  }
  BOOST_TEST(Page.size() == Figures.size());
}

BOOST_AUTO_TEST_CASE(each_slope_fits_its_values) {
  const slopes Slopes;
  BOOST_TEST(!Slopes.ByName.empty());
  for (const auto &[Name, Record] : Slopes.ByName) {
    BOOST_TEST(Record["sizes"].size() >= 3U, Name);
    BOOST_TEST(Record["sizes"].size() == Record["values"].size(), Name);
    double MaxResidual = 0;
    for (Json::ArrayIndex Index = 0; Index < Record["sizes"].size(); ++Index)
      MaxResidual = std::max(
          MaxResidual,
          std::abs(Record["values"][Index].asDouble() - Slopes.intercept(Name) -
                   Slopes.slope(Name) * Record["sizes"][Index].asDouble()));
    const double RoundingTolerance =
        1e-4 * Record["values"][0].asDouble() + 100;
    BOOST_TEST(std::abs(MaxResidual - Record["residual"].asDouble()) <
                   RoundingTolerance,
               Name);
  }
}
