#include "route/targetregistry.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using tarragon::time_point;
using tarragon::route::target_entry;
using tarragon::route::target_registry;

namespace {

auto entry(std::string Id, const std::int64_t StartedAtMs = 1,
           const std::int64_t Sequence = 1) -> target_entry {
  target_entry Entry;
  Entry.Id = std::move(Id);
  Entry.Service = "search";
  Entry.Ip = "10.0.0.1";
  Entry.Port = 80;
  Entry.StartedAtMs = StartedAtMs;
  Entry.Sequence = Sequence;
  return Entry;
}

const time_point Start{};

} // namespace

BOOST_AUTO_TEST_SUITE(targetregistry)

// A target's own answers tell earlier than its entry that it leaves, and the
// entry may be written again as ready, or go and come back.
BOOST_AUTO_TEST_CASE(a_target_that_said_it_leaves_stays_unusable) {
  target_registry Registry;
  Registry.put(entry("a", 5, 1));
  const auto Changes = Registry.markLeaving("a", 5);
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(!Changes[0].Usable);
  BOOST_TEST(Registry.markLeaving("a", 5).empty());
  BOOST_TEST(Registry.put(entry("a", 5, 2)).empty());
  BOOST_TEST(Registry.usable("search").empty());
  Registry.remove("a", Start);
  Registry.expire(Start);
  Registry.put(entry("a", 5, 3));
  BOOST_TEST(Registry.usable("search").empty());
  Registry.put(entry("a", 6, 1));
  BOOST_TEST(Registry.usable("search").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_notice_of_an_earlier_incarnation_is_ignored) {
  target_registry Registry;
  Registry.put(entry("a", 6, 1));
  BOOST_TEST(Registry.markLeaving("a", 5).empty());
  BOOST_TEST(Registry.usable("search").size() == 1U);
  BOOST_TEST(Registry.markLeaving("unknown", 5).empty());
}

BOOST_AUTO_TEST_CASE(a_draining_target_gets_no_new_requests_immediately) {
  target_registry Registry;
  Registry.put(entry("a"));
  target_entry Draining = entry("a", 1, 2);
  Draining.Draining = true;
  const auto Changes = Registry.put(Draining);
  BOOST_REQUIRE(Changes.size() == 1);
  BOOST_TEST(!Changes[0].Usable);
  BOOST_TEST(Registry.usable("search").empty());
}

// A target's earlier write may be stored after the one in which it drains.
BOOST_AUTO_TEST_CASE(an_incarnation_that_drains_stays_draining) {
  target_registry Registry;
  target_entry Draining = entry("a", 5, 9);
  Draining.Draining = true;
  Registry.put(Draining);
  BOOST_TEST(Registry.put(entry("a", 5, 8)).empty());
  BOOST_TEST(Registry.put(entry("a", 5, 10)).empty());
  BOOST_TEST(Registry.usable("search").empty());
}

// Another writer used the id, with a start or a count in the future. The
// target's own later entries must count again, its draining too.
BOOST_AUTO_TEST_CASE(a_later_entry_counts_whatever_start_it_names) {
  for (const auto &[StartedAtMs, Sequence] :
       {std::pair(99, 1), std::pair(5, 1000000)}) {
    target_registry Registry;
    Registry.put(entry("a", 5, 8));
    target_entry Odd = entry("a", StartedAtMs, Sequence);
    Odd.Service = "other";
    Registry.put(Odd);
    BOOST_TEST(Registry.usable("other").size() == 1U);
    Registry.put(entry("a", 5, 9));
    BOOST_TEST(Registry.usable("other").empty());
    BOOST_TEST(Registry.usable("search").size() == 1U);
    Registry.put(Odd);
    target_entry Draining = entry("a", 5, 10);
    Draining.Draining = true;
    Registry.put(Draining);
    BOOST_TEST(Registry.usable("other").empty());
    BOOST_TEST(Registry.usable("search").empty());
  }
}

// Each write of such an entry makes the target cold, but not the same write
// again, as in a complete list.
BOOST_AUTO_TEST_CASE(an_entry_that_announces_a_slow_start_is_a_change) {
  target_registry Registry;
  BOOST_TEST(!Registry.put(entry("a", 5, 1))[0].Cold);
  target_entry Cold = entry("a", 5, 2);
  Cold.ColdFor = 2s;
  const auto Changes = Registry.put(Cold);
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST((Changes[0].Cold && Changes[0].OnlyCold && Changes[0].Usable));
  BOOST_TEST(!Changes[0].Restarted);
  BOOST_TEST(Registry.put(Cold).empty());
  Cold.Sequence = 3;
  BOOST_TEST(Registry.put(Cold).size() == 1U);
  Cold.Revision = 8;
  BOOST_TEST(Registry.put(Cold).size() == 1U);
  Cold.StartedAtMs = 6;
  const auto Restarted = Registry.put(Cold);
  BOOST_REQUIRE(Restarted.size() == 1U);
  BOOST_TEST((Restarted[0].Cold && Restarted[0].Restarted));
  BOOST_TEST(!Restarted[0].OnlyCold);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_restarts_the_sequence) {
  target_registry Registry;
  target_entry Draining = entry("a", 5, 9);
  Draining.Draining = true;
  Registry.put(Draining);
  const auto Changes = Registry.put(entry("a", 6, 0));
  BOOST_REQUIRE(Changes.size() == 1);
  BOOST_TEST(Changes[0].Restarted);
  BOOST_TEST(Registry.usable("search").size() == 1);
}

BOOST_AUTO_TEST_CASE(a_removed_target_is_kept_until_its_drop_time) {
  target_registry Registry;
  Registry.put(entry("a"));
  Registry.remove("a", Start + 2s);
  BOOST_TEST(Registry.expire(Start + 1s).empty());
  BOOST_TEST(Registry.usable("search").size() == 1);
  BOOST_TEST(Registry.expire(Start + 2s).size() == 1);
  BOOST_TEST(Registry.usable("search").empty());
}

BOOST_AUTO_TEST_CASE(a_target_that_returns_before_its_drop_time_is_kept) {
  target_registry Registry;
  Registry.put(entry("a"));
  Registry.replaceAll({}, Start + 2s);
  Registry.put(entry("a"));
  BOOST_TEST(Registry.expire(Start + 5s).empty());
  BOOST_TEST(Registry.usable("search").size() == 1);
}

BOOST_AUTO_TEST_CASE(a_second_removal_does_not_postpone_the_first) {
  target_registry Registry;
  Registry.put(entry("a"));
  Registry.remove("a", Start + 1s);
  Registry.replaceAll({}, Start + 9s);
  BOOST_TEST(Registry.expire(Start + 1s).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
