#include <boost/test/unit_test.hpp>

#include "membership/addressranking.h"
#include "membership/ownermap.h"
#include "virtualnetwork.h"

#include <set>

using namespace std::chrono_literals;
using namespace tarragon::membership::tests;
using tarragon::instance_state;
using tarragon::membership::ownerOf;
using tarragon::membership::rankAddresses;

namespace {

constexpr std::size_t Groups = 300;

auto groupIn(const std::size_t Number,
             const std::vector<tarragon::failure_domain> &Domains)
    -> tarragon::replica_group {
  tarragon::replica_group Group{"s/" + std::to_string(Number), {}};
  for (const auto &Domain : Domains)
    Group.Targets.push_back({"t", "10.0.3.1:1", Domain});
  return Group;
}

} // namespace

BOOST_AUTO_TEST_CASE(owners_spread_and_only_groups_of_a_dead_owner_move) {
  const auto Before = fleet(7);
  auto After = Before;
  After[4].State = instance_state::Dead;
  std::map<tarragon::instance_id, std::size_t> Owned;
  for (std::size_t Number = 0; Number < Groups; ++Number) {
    const auto Group = groupIn(Number, {"d0", "d1", "d2"});
    const auto Owner = ownerOf(Group, Before);
    ++Owned[*Owner];
    const auto Next = ownerOf(Group, After);
    BOOST_TEST((*Owner == "n4" ? *Next != "n4" : Next == Owner));
  }
  for (const auto &[Id, Count] : Owned)
    BOOST_TEST((Count > Groups / 7 / 2 && Count < Groups / 7 * 2), Id << Count);
}

BOOST_AUTO_TEST_CASE(the_owner_is_in_the_domain_of_most_targets) {
  auto Members = fleet(6);
  for (std::size_t Number = 0; Number < Groups; ++Number) {
    const auto Owner = ownerOf(groupIn(Number, {"d1", "d0", "d1"}), Members);
    BOOST_TEST((*Owner == "n1" || *Owner == "n4"));
  }
  Members[1].State = instance_state::Leaving;
  Members[4].State = instance_state::Dead;
  const auto Owner = ownerOf(groupIn(0, {"d1", "d0", "d1"}), Members);
  BOOST_TEST((*Owner == "n0" || *Owner == "n3"));
}

BOOST_AUTO_TEST_CASE(a_suspect_keeps_its_groups_and_no_members_no_owner) {
  auto Members = fleet(7);
  const auto Group = groupIn(1, {"d0"});
  const auto Owner = ownerOf(Group, Members);
  for (auto &Member : Members)
    if (Member.Id == *Owner)
      Member.State = instance_state::Suspect;
  BOOST_TEST((ownerOf(Group, Members) == Owner));
  BOOST_TEST(!ownerOf(Group, {}).has_value());
}

BOOST_AUTO_TEST_CASE(the_own_domain_ranks_first_and_suspects_last) {
  auto Members = fleet(9); // d0: n0 n3 n6
  Members[0].State = instance_state::Suspect;
  Members[1].State = instance_state::Leaving;
  Members[2].State = instance_state::Dead;
  const auto Answer = rankAddresses(Members, "d0", 5, 5s);
  BOOST_TEST((Answer.Lifetime == 5s));
  BOOST_REQUIRE(Answer.Addresses.size() == 7U);
  BOOST_TEST(Answer.Addresses[0].Domain == "d0");
  BOOST_TEST(Answer.Addresses[1].Domain == "d0");
  BOOST_TEST(Answer.Addresses[2].Domain != "d0");
  BOOST_TEST(Answer.Addresses.back().Instance == "n0");
  BOOST_TEST(Answer.Addresses.back().Address == Members[0].CallerAddress);
}

BOOST_AUTO_TEST_CASE(callers_spread_evenly_also_those_of_a_lost_instance) {
  const auto Members = fleet(7);
  std::map<tarragon::instance_id, int> First;
  std::map<tarragon::instance_id, int> SecondAfterN0;
  for (std::uint64_t Spread = 0; Spread < 700; ++Spread) {
    const auto Answer = rankAddresses(Members, "", Spread, 5s);
    ++First[Answer.Addresses[0].Instance];
    if (Answer.Addresses[0].Instance == "n0")
      ++SecondAfterN0[Answer.Addresses[1].Instance];
  }
  for (const auto &[Id, Count] : First)
    BOOST_TEST(Count == 100, Id);
  BOOST_TEST(SecondAfterN0.size() == 6U);
}

BOOST_AUTO_TEST_CASE(the_answer_of_a_large_fleet_is_short_and_spans_domains) {
  const auto Answer = rankAddresses(fleet(900), "d1", 3, 5s);
  BOOST_TEST(Answer.Addresses.size() == tarragon::membership::MaxAddresses);
  std::set<tarragon::failure_domain> Domains;
  for (const auto &Address : Answer.Addresses)
    Domains.insert(Address.Domain);
  BOOST_TEST(Domains.size() > 1U);
}
