#include "route/targetregistry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using tarragon::time_point;
using tarragon::route::target_entry;
using tarragon::route::target_registry;

namespace {

auto entry(std::string Id, std::string Domain,
           const std::int64_t StartedAtMs = 1) -> target_entry {
  target_entry Entry;
  Entry.Id = std::move(Id);
  Entry.Service = "search";
  Entry.Ip = "10.0.0.1";
  Entry.Port = 80;
  Entry.FailureDomain = std::move(Domain);
  Entry.StartedAtMs = StartedAtMs;
  return Entry;
}

auto usable(const target_registry &Registry) -> std::string {
  std::string Ids;
  for (const target_entry *Entry : Registry.usable("search"))
    Ids += Entry->Id;
  return Ids;
}

const time_point Start{};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// The gateway drops the connections of the targets named in the changes, so a
// target that is left out would be sent to on a kept connection.
BOOST_AUTO_TEST_CASE(all_targets_of_an_evacuated_domain_become_unusable) {
  target_registry Registry;
  for (const std::string Id : {"a", "b"})
    Registry.put(entry(Id, "x"));
  Registry.put(entry("c", "y"));
  const auto Changes = Registry.setEvacuated({"x"});
  BOOST_REQUIRE(Changes.size() == 2U);
  for (const auto &Change : Changes)
    BOOST_TEST(!Change.Usable);
  BOOST_TEST(usable(Registry) == "c");
  BOOST_TEST(Registry.setEvacuated({"x"}).empty());
  const auto Returned = Registry.setEvacuated({});
  BOOST_REQUIRE(Returned.size() == 2U);
  for (const auto &Change : Returned)
    BOOST_TEST((Change.Usable && Change.Returned && !Change.Restarted));
  BOOST_TEST(usable(Registry) == "abc");
}

// Targets restart, register again or return after an outage of the store while
// their domain is evacuated.
BOOST_AUTO_TEST_CASE(entries_that_arrive_meanwhile_stay_unusable) {
  target_registry Registry;
  Registry.put(entry("a", "x"));
  Registry.setEvacuated({"x"});
  const auto New = Registry.put(entry("b", "x"));
  BOOST_REQUIRE(New.size() == 1U);
  BOOST_TEST(!New[0].Usable);
  const auto Restarted = Registry.put(entry("a", "x", 2));
  BOOST_REQUIRE(Restarted.size() == 1U);
  BOOST_TEST((Restarted[0].Restarted && !Restarted[0].Usable));
  Registry.remove("a", Start);
  Registry.expire(Start);
  Registry.put(entry("a", "x", 2));
  Registry.replaceAll({entry("a", "x", 3), entry("b", "x"), entry("c", "y")},
                      Start);
  BOOST_TEST(usable(Registry) == "c");
}

BOOST_AUTO_TEST_CASE(a_target_whose_domain_changes_is_judged_anew) {
  target_registry Registry;
  Registry.put(entry("a", "x"));
  Registry.setEvacuated({"x"});
  const auto Left = Registry.put(entry("a", "y"));
  BOOST_REQUIRE(Left.size() == 1U);
  BOOST_TEST((Left[0].Usable && Left[0].Returned));
  const auto Entered = Registry.put(entry("a", "x"));
  BOOST_REQUIRE(Entered.size() == 1U);
  BOOST_TEST(!Entered[0].Usable);
  BOOST_TEST(usable(Registry).empty());
}

BOOST_AUTO_TEST_CASE(overlapping_evacuations_end_separately) {
  target_registry Registry;
  Registry.put(entry("a", "x"));
  Registry.put(entry("b", "y"));
  Registry.setEvacuated({"x"});
  BOOST_TEST(Registry.setEvacuated({"x", "y"}).size() == 1U);
  BOOST_TEST(usable(Registry).empty());
  Registry.setEvacuated({"y"});
  BOOST_TEST(usable(Registry) == "a");
  BOOST_TEST(Registry.setEvacuated({"y", "unknown"}).empty());
}

// A target that drains may not return with its domain.
BOOST_AUTO_TEST_CASE(a_draining_target_does_not_return) {
  target_registry Registry;
  Registry.put(entry("a", "x"));
  Registry.put(entry("b", "x"));
  Registry.setEvacuated({"x"});
  Registry.markLeaving("a", 1);
  target_entry Draining = entry("b", "x");
  Draining.Draining = true;
  Registry.put(Draining);
  BOOST_TEST(Registry.setEvacuated({}).empty());
  BOOST_TEST(usable(Registry).empty());
}

BOOST_AUTO_TEST_SUITE_END()
