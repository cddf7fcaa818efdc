#include "route/targetbook.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using tarragon::time_point;
using tarragon::route::target_book;
using tarragon::route::target_entry;

namespace {

auto entry(std::string Id, const std::int64_t Born = 1,
           const std::int64_t Sequence = 1) -> target_entry {
  target_entry Entry;
  Entry.Id = std::move(Id);
  Entry.Service = "search";
  Entry.Ip = "10.0.0.1";
  Entry.Port = 80;
  Entry.Born = Born;
  Entry.Sequence = Sequence;
  return Entry;
}

const time_point Start{};

} // namespace

BOOST_AUTO_TEST_SUITE(targetbook)

BOOST_AUTO_TEST_CASE(a_draining_target_gets_no_new_requests_immediately) {
  target_book Book;
  Book.put(entry("a"));
  target_entry Draining = entry("a", 1, 2);
  Draining.Draining = true;
  const auto Changes = Book.put(Draining);
  BOOST_REQUIRE(Changes.size() == 1);
  BOOST_TEST(!Changes[0].Usable);
  BOOST_TEST(Book.usable("search").empty());
}

BOOST_AUTO_TEST_CASE(an_older_entry_is_ignored) {
  target_book Book;
  target_entry Draining = entry("a", 5, 9);
  Draining.Draining = true;
  Book.put(Draining);
  BOOST_TEST(Book.put(entry("a", 5, 8)).empty());
  BOOST_TEST(Book.put(entry("a", 4, 100)).empty());
  BOOST_TEST(Book.usable("search").empty());
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_restarts_the_sequence) {
  target_book Book;
  target_entry Draining = entry("a", 5, 9);
  Draining.Draining = true;
  Book.put(Draining);
  const auto Changes = Book.put(entry("a", 6, 0));
  BOOST_REQUIRE(Changes.size() == 1);
  BOOST_TEST(Changes[0].Reborn);
  BOOST_TEST(Book.usable("search").size() == 1);
}

BOOST_AUTO_TEST_CASE(a_removed_target_is_kept_until_its_drop_time) {
  target_book Book;
  Book.put(entry("a"));
  Book.remove("a", Start + 2s);
  BOOST_TEST(Book.expire(Start + 1s).empty());
  BOOST_TEST(Book.usable("search").size() == 1);
  BOOST_TEST(Book.expire(Start + 2s).size() == 1);
  BOOST_TEST(Book.usable("search").empty());
}

BOOST_AUTO_TEST_CASE(a_target_that_returns_before_its_drop_time_is_kept) {
  target_book Book;
  Book.put(entry("a"));
  Book.replaceAll({}, Start + 2s);
  Book.put(entry("a"));
  BOOST_TEST(Book.expire(Start + 5s).empty());
  BOOST_TEST(Book.usable("search").size() == 1);
}

BOOST_AUTO_TEST_CASE(a_second_removal_does_not_postpone_the_first) {
  target_book Book;
  Book.put(entry("a"));
  Book.remove("a", Start + 1s);
  Book.replaceAll({}, Start + 9s);
  BOOST_TEST(Book.expire(Start + 1s).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
