#include "config/internal/contractreader.h"

#include "config/internal/mappingreader.h"

#include <algorithm>
#include <array>

namespace tarragon::config {

namespace {

constexpr int_range LimitRange{1, 100000};
constexpr time_range DeadlineRange{milliseconds{1}, std::chrono::minutes{10}};
constexpr time_range EarlyRange{milliseconds{0}, std::chrono::minutes{10}};

constexpr std::array Merges{merge_kind::TopK, merge_kind::Concat,
                            merge_kind::ByKey};
constexpr std::array Shortfalls{shortfall_policy::AnswerPartial,
                                shortfall_policy::Refuse};
constexpr std::array Waits{wait_policy::AnswerEarly, wait_policy::WaitDeadline};

} // namespace

auto contract_reader::read(const YAML::Node &Node) -> contract {
  contract Contract;
  mapping_reader Reader(Node, "contract " + nameForFaults(Node),
                        {"id", "team", "services", "merge", "limit", "deadline",
                         "early_after", "wanted_coverage", "least_coverage",
                         "shortfall", "wait", "hedge_budget", "repeatable",
                         "objective", "public"},
                        Faults);
  if (!Reader.valid())
    return Contract;
  Contract.Id = Reader.readName("id");
  Contract.Team = Reader.readName("team");
  if (const auto Services = Reader.require("services"))
    readServices(*Services, Contract);
  Reader.require("merge");
  Reader.require("deadline");
  readChoices(Reader, Contract);
  readNumbers(Reader, Contract);
  if (const auto Objective = Reader.find("objective"))
    Contract.Objective = readObjective(*Objective, Reader.name());
  checkTimesAndShares(Reader, Contract);
  checkMerge(Reader, Contract);
  return Contract;
}

auto contract_reader::readChoices(mapping_reader &Reader, contract &Contract)
    -> void {
  if (const auto Choice =
          Reader.readChoice("merge", {"top_k", "concat", "by_key"}))
    Contract.Merge = Merges[*Choice];
  if (const auto Choice =
          Reader.readChoice("shortfall", {"answer_partial", "refuse"}))
    Contract.Shortfall = Shortfalls[*Choice];
  if (const auto Choice =
          Reader.readChoice("wait", {"answer_early", "wait_deadline"}))
    Contract.Wait = Waits[*Choice];
}

auto contract_reader::readNumbers(mapping_reader &Reader, contract &Contract)
    -> void {
  Reader.readSize("limit", LimitRange, Contract.Limit);
  Reader.readTime("deadline", DeadlineRange, Contract.Deadline);
  Reader.readTime("early_after", EarlyRange, Contract.EarlyAfter);
  Reader.readShare("wanted_coverage", Contract.WantedCoverage);
  Reader.readShare("least_coverage", Contract.MinCoverage);
  Reader.readBool("repeatable", Contract.Repeatable);
  Reader.readBool("public", Contract.Public);
  if (!Contract.Repeatable)
    Contract.HedgeBudget = 0;
  Reader.readShare("hedge_budget", Contract.HedgeBudget);
}

auto contract_reader::readServices(const YAML::Node &Node, contract &Contract)
    -> void {
  const std::string Context = "contract " + Contract.Id;
  if (!Node.IsSequence() || Node.size() == 0) {
    Faults.add(Node, result_code::ConfigMalformed,
               Context + ": services must be a non-empty list");
    return;
  }
  const service *First = nullptr;
  for (const auto &Element : Node) {
    if (Faults.full())
      return;
    const std::string Name = Element.IsScalar() ? Element.Scalar() : "";
    const service *const Service = Deployment.findService(Name);
    if (Service == nullptr) {
      Faults.add(Element, result_code::ConfigMissingReference,
                 Context + ": no service is named `" + Name + "`");
      continue;
    }
    if (First == nullptr)
      First = Service;
    if (Service->Index != First->Index)
      Faults.add(Element, result_code::ConfigOutOfRange,
                 Context + ": service " + Name + " has index " +
                     Service->Index + ", but service " + First->Id +
                     " has index " + First->Index);
    const auto Begin = Contract.Services.begin();
    const auto End = Contract.Services.end();
    if (std::find(Begin, End, Name) != End)
      Faults.add(Element, result_code::ConfigDuplicate,
                 Context + ": service " + Name + " appears twice");
    Contract.Services.push_back(Name);
  }
}

auto contract_reader::readObjective(const YAML::Node &Node,
                                    const std::string &Context) -> objective {
  objective Objective;
  mapping_reader Reader(Node, Context + ": objective",
                        {"latency", "latency_share", "coverage_share"}, Faults);
  if (!Reader.valid())
    return Objective;
  Reader.readTime("latency", DeadlineRange, Objective.Latency);
  Reader.readShare("latency_share", Objective.LatencyShare);
  Reader.readShare("coverage_share", Objective.CoverageShare);
  return Objective;
}

auto contract_reader::checkTimesAndShares(mapping_reader &Reader,
                                          const contract &Contract) -> void {
  if (Contract.WantedCoverage < Contract.MinCoverage)
    Reader.reject("wanted_coverage", result_code::ConfigOutOfRange,
                  "wanted_coverage must not be below least_coverage");
  if (Contract.EarlyAfter >= Contract.Deadline)
    Reader.reject("early_after", result_code::ConfigOutOfRange,
                  "early_after must be shorter than deadline");
  if (Contract.Wait == wait_policy::WaitDeadline && Reader.find("early_after"))
    Reader.reject("early_after", result_code::ConfigOutOfRange,
                  "early_after requires `wait: answer_early`");
}

auto contract_reader::checkMerge(mapping_reader &Reader,
                                 const contract &Contract) -> void {
  const bool ByKey = Contract.Merge == merge_kind::ByKey;
  if (ByKey && Contract.Services.size() > 1)
    Reader.reject("services", result_code::ConfigOutOfRange,
                  "`merge: by_key` requires exactly one service");
  if (!Contract.Repeatable && !ByKey)
    Reader.reject("repeatable", result_code::ConfigOutOfRange,
                  "`repeatable: false` requires `merge: by_key`");
  if (!Contract.Repeatable && Contract.HedgeBudget > 0)
    Reader.reject("hedge_budget", result_code::ConfigOutOfRange,
                  "`repeatable: false` requires a hedge_budget of 0");
}

} // namespace tarragon::config
