#include "placement/targetset.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::placement;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr microseconds Latency{20000};

struct return_case {
  return_case() {
    for (const std::string Id : {"a", "b", "c"}) {
      route::target_entry Entry;
      Entry.Id = Id;
      Entry.Service = "s";
      Entry.FailureDomain = Id;
      Entry.Slots = 4;
      Entry.StartedAtMs = 1;
      Targets.apply(Targets.registry().put(Entry), Start);
    }
    Targets.setColdStarts({{"s", {10, 4000ms}}}, Start);
  }

  auto evacuate(const std::set<std::string> &Domains, const time_point Now)
      -> void {
    Targets.apply(Targets.registry().setEvacuated(Domains), Now);
  }

  /// Keeps \p InFlight attempts running from \p From to \p Until and returns
  /// how many each target got.
  auto run(const int InFlight, const time_point From, const time_point Until)
      -> std::map<std::string, int> {
    std::map<std::string, int> Sent;
    std::vector<std::pair<time_point, std::string>> Running;
    for (time_point Now = From; Now < Until; Now += 1ms) {
      std::erase_if(Running, [&](const auto &Attempt) {
        if (Attempt.first > Now)
          return false;
        Targets.health(Attempt.second)
            .onEnded(attempt_end::Answered, Latency, Latency, Now);
        return true;
      });
      while (static_cast<int>(Running.size()) < InFlight) {
        const auto *Target = Targets.choose("s", {}, Latency, Now);
        if (!Target)
          break;
        Targets.health(Target->Id).onSent(Now);
        ++Sent[Target->Id];
        Running.emplace_back(Now + Latency, Target->Id);
      }
    }
    for (const auto &Attempt : Running)
      Targets.health(Attempt.second)
          .onEnded(attempt_end::Answered, Latency, Latency, Until);
    return Sent;
  }

  target_set Targets{"elsewhere"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// A target that was out of use may be cold: its whole share at once would
// overload it.
BOOST_AUTO_TEST_CASE(load_returns_gradually_after_an_evacuation) {
  return_case Case;
  Case.evacuate({"a"}, Start);
  BOOST_TEST(Case.run(9, Start, Start + 1s)["a"] == 0);
  Case.evacuate({}, Start + 1s);
  const int First = Case.run(9, Start + 1s, Start + 1500ms)["a"];
  const int Middle = Case.run(9, Start + 2500ms, Start + 3s)["a"];
  Case.run(9, Start + 3s, Start + 9s);
  auto Later = Case.run(9, Start + 9s, Start + 9500ms);
  BOOST_TEST_MESSAGE("requests in half a second: " << First << ", " << Middle
                                                   << ", " << Later["a"]);
  BOOST_TEST(First > 0);
  BOOST_TEST(First < Later["a"] / 2);
  BOOST_TEST(Middle > First);
  BOOST_TEST(Middle <= Later["a"]);
  BOOST_TEST(Later["a"] * 4 > Later["b"] * 3);
}

// The failures before an evacuation say nothing of a target that comes back.
BOOST_AUTO_TEST_CASE(a_returning_target_has_no_earlier_health) {
  return_case Case;
  for (int Failure = 0; Failure < 5; ++Failure) {
    Case.Targets.health("a").onSent(Start);
    Case.Targets.health("a").onEnded(attempt_end::Unreachable, Latency, Latency,
                                     Start);
  }
  Case.evacuate({"a"}, Start);
  Case.evacuate({}, Start + 10ms);
  BOOST_TEST(!Case.Targets.health("a").isDown(Latency, Start + 10ms));
  BOOST_TEST(Case.Targets.connectionShare("s") > 1);
}

// All instances must refuse at once what they can't serve.
BOOST_AUTO_TEST_CASE(a_wholly_evacuated_service_is_down) {
  return_case Case;
  Case.evacuate({"a", "b", "c"}, Start);
  BOOST_TEST(Case.Targets.isServiceDown("s", Latency, Start));
  BOOST_TEST(!Case.Targets.reopensAt("s", Start).has_value());
  BOOST_TEST((Case.Targets.retryDelay("s", Start) > 0ms));
  BOOST_TEST(!Case.Targets.choose("s", {}, Latency, Start));
}

BOOST_AUTO_TEST_SUITE_END()
