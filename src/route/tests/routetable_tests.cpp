#include "route/routetable.h"

#include <boost/test/unit_test.hpp>

using tarragon::route::route;
using tarragon::route::route_set;
using tarragon::route::route_table;

namespace {

auto makeRoute(std::string Name, std::string Host, std::string Prefix)
    -> route {
  route Route;
  Route.Name = std::move(Name);
  Route.Host = std::move(Host);
  Route.Prefix = std::move(Prefix);
  return Route;
}

auto makeTable() -> route_table {
  auto Set = std::make_shared<route_set>();
  Set->Routes = {makeRoute("all", "shop.example", "/"),
                 makeRoute("cards", "shop.example", "/cards/"),
                 makeRoute("pressed", "shop.example", "/cards/pressed/"),
                 makeRoute("other", "desk.example", "/cards/"),
                 makeRoute("literal", "[2001:db8::7]", "/")};
  return route_table(Set);
}

auto nameOf(const route *Route) -> std::string {
  return Route ? Route->Name : "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(routetable)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  const route_table Table = makeTable();
  BOOST_TEST(nameOf(Table.find("shop.example", "/cards/pressed/7")) ==
             "pressed");
  BOOST_TEST(nameOf(Table.find("shop.example", "/cards/pressed")) == "cards");
  BOOST_TEST(nameOf(Table.find("shop.example", "/x")) == "all");
  BOOST_TEST(nameOf(Table.find("desk.example", "/cards/1")) == "other");
  BOOST_TEST(nameOf(Table.find("desk.example", "/x")) == "none");
  BOOST_TEST(nameOf(Table.find("unknown.example", "/cards/1")) == "none");
}

BOOST_AUTO_TEST_CASE(port_case_and_query_are_ignored) {
  const route_table Table = makeTable();
  BOOST_TEST(nameOf(Table.find("Shop.Example:8226", "/cards/1")) == "cards");
  BOOST_TEST(nameOf(Table.find("shop.example", "/cards?p=/pressed/")) == "all");
  BOOST_TEST(nameOf(Table.find("shop.example", "/cards/?a=b")) == "cards");
}

BOOST_AUTO_TEST_CASE(an_address_in_brackets_is_kept_whole) {
  const route_table Table = makeTable();
  BOOST_TEST(nameOf(Table.find("[2001:db8::7]", "/x")) == "literal");
  BOOST_TEST(nameOf(Table.find("[2001:DB8::7]:8226", "/x")) == "literal");
  BOOST_TEST(nameOf(Table.find("[2001:db8::8]:8226", "/x")) == "none");
}

BOOST_AUTO_TEST_SUITE_END()
