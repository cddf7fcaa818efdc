#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "bounds.h"
#include "virtualnetwork.h"

#include <set>

using namespace std::chrono_literals;
using namespace tarragon::membership::tests;
using tarragon::instance_state;
using tarragon::milliseconds;
using tarragon::membership::membership_settings;
namespace data = boost::unit_test::data;

namespace {

const membership_settings Settings;
const auto Sizes = data::make({std::size_t{7}, std::size_t{100}});
const auto Seeds = data::make({std::uint64_t{1}, std::uint64_t{2}});
const auto Cases = Sizes * Seeds;

auto allLive(virtual_network &Network) -> bool {
  return Network.allSee(Network.ids(), instance_state::Live);
}

/// Runs until all running nodes see each other Live; returns whether that took
/// at most \p Bound.
auto convergesWithin(virtual_network &Network, const milliseconds Bound)
    -> bool {
  return Network.runUntil([&] { return allLive(Network); }, Bound) <= Bound;
}

auto allSeeWithin(virtual_network &Network,
                  const std::vector<tarragon::instance_id> &Ids,
                  const instance_state State, const milliseconds Bound)
    -> bool {
  return Network.runUntil([&] { return Network.allSee(Ids, State); }, Bound) <=
         Bound;
}

auto convergedNetwork(const std::uint64_t Seed, const std::size_t Size)
    -> virtual_network {
  virtual_network Network(Seed, Settings);
  const auto Fleet = fleet(Size);
  for (const auto &Self : Fleet)
    Network.start(Self, Fleet);
  BOOST_REQUIRE(convergesWithin(Network, spreadBound(Settings, Size)));
  return Network;
}

auto countSeen(virtual_network &Network, const instance_state State)
    -> std::size_t {
  std::size_t Count = 0;
  for (const auto &Id : Network.ids())
    for (const auto &Member : Network.table(Id).members())
      Count += Member.State == State ? 1 : 0;
  return Count;
}

auto isOdd(const tarragon::instance_id &Id) -> bool {
  return (Id.back() - '0') % 2 != 0;
}

} // namespace

BOOST_DATA_TEST_CASE(converges_when_only_one_has_the_list, Cases, Size, Seed) {
  virtual_network Network(Seed, Settings);
  const auto Fleet = fleet(Size);
  for (const auto &Self : Fleet)
    Network.start(Self,
                  Self.Id == "n0" ? Fleet : std::vector<tarragon::instance>{});
  const int Periods = static_cast<int>(Size / Settings.ProbesPerPeriod);
  BOOST_TEST(convergesWithin(Network, Periods * Settings.ProbePeriod +
                                          spreadBound(Settings, Size)));
}

BOOST_DATA_TEST_CASE(converges_from_a_single_seed, Cases, Size, Seed) {
  virtual_network Network(Seed, Settings);
  const auto Fleet = fleet(Size);
  for (const auto &Self : Fleet)
    Network.start(Self, {Fleet[0]});
  BOOST_TEST(convergesWithin(Network, 2 * spreadBound(Settings, Size)));
}

BOOST_DATA_TEST_CASE(a_wrong_list_adds_no_members, Cases, Size, Seed) {
  virtual_network Network(Seed, Settings);
  const auto Fleet = fleet(Size);
  auto Wrong = Fleet;
  std::swap(Wrong[1].PeerAddress, Wrong[2].PeerAddress);
  Wrong.push_back({"gone", "10.9.9.9:1", "10.9.9.9:2", "d0"});
  Wrong.push_back({"", "", "", ""});
  for (const auto &Self : Fleet)
    Network.start(Self, Wrong);
  BOOST_TEST(convergesWithin(Network, 2 * spreadBound(Settings, Size)));
  BOOST_TEST(Network.table("n0").members().size() == Size);
}

BOOST_DATA_TEST_CASE(deaths_are_detected_within_the_bound, Cases, Size, Seed) {
  auto Network = convergedNetwork(Seed, Size);
  std::vector<tarragon::instance_id> Dead;
  for (std::size_t Index = 0; Index < Size; Index += 3)
    Dead.push_back(numbered(Index).Id);
  for (const auto &Id : Dead)
    Network.stop(Id);
  BOOST_TEST(allSeeWithin(Network, Dead, instance_state::Dead,
                          deathBound(Settings, Size)));
  BOOST_TEST(allLive(Network));
}

BOOST_DATA_TEST_CASE(message_loss_causes_no_death, Cases, Size, Seed) {
  auto Network = convergedNetwork(Seed, Size);
  Network.Loss = 0.1;
  for (int Second = 0; Second < 20; ++Second) {
    Network.run(1s);
    BOOST_TEST(countSeen(Network, instance_state::Dead) == 0U);
  }
  Network.Loss = 0;
  BOOST_TEST(convergesWithin(Network, spreadBound(Settings, Size)));
}

BOOST_DATA_TEST_CASE(a_one_way_link_failure_causes_no_suspicion, Cases, Size,
                     Seed) {
  auto Network = convergedNetwork(Seed, Size);
  Network.Blocked = [](const auto &From, const auto &To) {
    return From == "n1" && To == "n2";
  };
  std::size_t FalseSuspicions = 0;
  for (int Step = 0; Step < 200; ++Step) {
    Network.run(100ms);
    FalseSuspicions += countSeen(Network, instance_state::Suspect) +
                       countSeen(Network, instance_state::Dead);
  }
  BOOST_TEST(FalseSuspicions == 0U);
}

BOOST_DATA_TEST_CASE(a_partition_heals_both_ways_without_a_list, Cases, Size,
                     Seed) {
  auto Network = convergedNetwork(Seed, Size);
  for (const auto &Id : Network.ids())
    Network.table(Id).adoptInstanceList({}, Network.now());
  Network.Blocked = [](const auto &From, const auto &To) {
    return isOdd(From) != isOdd(To);
  };
  Network.run(Settings.ForgetDeadAfter / 2);
  BOOST_TEST((Network.stateAt("n0", "n1") == instance_state::Dead));
  BOOST_TEST((Network.stateAt("n1", "n0") == instance_state::Dead));
  Network.Blocked = nullptr;
  BOOST_TEST(convergesWithin(Network, spreadBound(Settings, Size)));
}

BOOST_DATA_TEST_CASE(a_long_partition_heals_through_the_list, Cases, Size,
                     Seed) {
  auto Network = convergedNetwork(Seed, Size);
  Network.Blocked = [](const auto &From, const auto &To) {
    return isOdd(From) != isOdd(To);
  };
  Network.run(2 * Settings.ForgetDeadAfter);
  Network.Blocked = nullptr;
  BOOST_TEST(convergesWithin(Network, spreadBound(Settings, Size)));
}

BOOST_DATA_TEST_CASE(a_resumed_instance_suspects_no_other,
                     Cases *data::make({false, true}), Size, Seed, TimerFirst) {
  auto Network = convergedNetwork(Seed, Size);
  Network.pause("n5");
  Network.run(Settings.ForgetDeadAfter / 2);
  BOOST_TEST((Network.stateAt("n1", "n5") == instance_state::Dead));
  Network.resume("n5", TimerFirst);
  BOOST_TEST(!Network.table("n5").reachesPeers(Network.now()));
  const auto Bound = spreadBound(Settings, Size);
  BOOST_TEST(convergesWithin(Network, Bound));
  BOOST_TEST(Network.table("n5").reachesPeers(Network.now()));
  Network.run(deathBound(Settings, Size));
  BOOST_TEST(allLive(Network));
}

BOOST_DATA_TEST_CASE(a_later_incarnation_replaces_the_earlier, Cases, Size,
                     Seed) {
  auto Network = convergedNetwork(Seed, Size);
  Network.leave("n3");
  Network.run(1s);
  Network.stop("n3");
  auto Later = numbered(3, 2);
  Later.PeerAddress = "10.0.2.2:3";
  Network.start(Later, fleet(Size));
  BOOST_TEST(allSeeWithin(Network, {"n3"}, instance_state::Live,
                          spreadBound(Settings, Size)));
  for (const auto &Member : Network.table("n0").members())
    if (Member.Id == "n3")
      BOOST_TEST((Member == Later));
  Network.run(deathBound(Settings, Size));
  BOOST_TEST(allLive(Network));
}

BOOST_DATA_TEST_CASE(leaving_is_disseminated_and_permanent, Cases, Size, Seed) {
  auto Network = convergedNetwork(Seed, Size);
  Network.leave("n2");
  BOOST_TEST(allSeeWithin(Network, {"n2"}, instance_state::Leaving,
                          spreadBound(Settings, Size)));
  // It stays Leaving after the others saw it Dead and it returned.
  Network.pause("n2");
  Network.run(Settings.ForgetDeadAfter / 2);
  BOOST_TEST((Network.stateAt("n1", "n2") == instance_state::Dead));
  Network.resume("n2", true);
  BOOST_TEST(allSeeWithin(Network, {"n2"}, instance_state::Leaving,
                          spreadBound(Settings, Size)));
}

BOOST_AUTO_TEST_CASE(the_message_rate_does_not_grow_with_the_fleet) {
  constexpr int Periods = 50;
  // Own pings, and acks to as many pings of others on average.
  const std::size_t Mean = 2 * Settings.ProbesPerPeriod * Periods;
  for (const std::size_t Size : {7U, 100U, 300U}) {
    auto Network = convergedNetwork(1, Size);
    Network.run(10s);
    Network.Sent.clear();
    Network.run(Periods * Settings.ProbePeriod);
    for (const auto &[Id, Sent] : Network.Sent)
      BOOST_TEST(Sent <= Mean + Mean / 4, Size << " members, " << Id);
    BOOST_TEST(Network.MaxUpdates <= Settings.UpdatesPerMessage);
  }
}

BOOST_AUTO_TEST_CASE(the_newest_configuration_version_is_reported) {
  auto Network = convergedNetwork(1, 100);
  BOOST_TEST(!Network.table("n0").newestConfig().has_value());
  Network.table("n7").setConfig(4);
  Network.table("n8").setConfig(3);
  Network.run(60s);
  const auto Newest = Network.table("n0").newestConfig();
  BOOST_REQUIRE(Newest.has_value());
  BOOST_TEST(Newest->first.Id == "n7");
  BOOST_TEST(Newest->second == 4U);
  Network.stop("n7");
  Network.run(deathBound(Settings, 100));
  BOOST_TEST(Network.table("n0").newestConfig()->second == 3U);
}

BOOST_DATA_TEST_CASE(a_configuration_spreads_by_probes_alone, Cases, Size,
                     Seed) {
  auto Network = convergedNetwork(Seed, Size);
  Network.table("n1").setConfig(5);
  std::set<tarragon::instance_id> Adopters{"n1"};
  const auto AllAdopted = [&] {
    for (const auto &Id : Network.ids()) {
      const auto Newest = Network.table(Id).newestConfig();
      if (!Newest || Newest->second < 5 || !Adopters.insert(Id).second)
        continue;
      Network.table(Id).setConfig(5); // adopts the newest version
    }
    return Adopters.size() == Size;
  };
  const auto Bound = spreadBound(Settings, Size);
  BOOST_TEST(Network.runUntil(AllAdopted, Bound) <= Bound);
}

BOOST_AUTO_TEST_CASE(an_earlier_incarnation_detects_its_replacement) {
  auto Network = convergedNetwork(1, 7);
  tarragon::membership::gossip_message Ping;
  Ping.From = numbered(3, 2);
  Network.table("n0").onMessage(Ping, Network.now());
  BOOST_TEST(!Network.table("n3").replaced());
  Network.run(spreadBound(Settings, 7));
  BOOST_TEST(Network.table("n3").replaced());
}

BOOST_AUTO_TEST_CASE(a_single_instance_reaches_no_peers) {
  virtual_network Network(1, Settings);
  Network.start(numbered(0), fleet(7));
  Network.run(10s);
  BOOST_TEST(!Network.table("n0").reachesPeers(Network.now()));
  BOOST_TEST(Network.table("n0").members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_revision_grows_with_every_change_and_only_then) {
  auto Network = convergedNetwork(1, 7);
  auto &Table = Network.table("n0");
  const auto Quiet = Table.revision();
  Network.run(10s);
  BOOST_TEST(Table.revision() == Quiet);
  auto Seen = Table.members();
  auto Revision = Quiet;
  Network.leave("n2");
  Network.stop("n3");
  Network.start(numbered(8), fleet(7));
  for (int Step = 0; Step < 100; ++Step) {
    Network.run(50ms);
    if (Table.members() != Seen)
      BOOST_TEST(Table.revision() > Revision);
    Seen = Table.members();
    Revision = Table.revision();
  }
  BOOST_TEST(Revision > Quiet);
  BOOST_TEST(Seen.size() == 8U);
}

BOOST_AUTO_TEST_CASE(no_update_of_the_same_incarnation_undoes_leaving) {
  auto Network = convergedNetwork(1, 7);
  auto &Table = Network.table("n0");
  tarragon::membership::gossip_message Ping;
  Ping.From = numbered(2);
  Ping.From.State = instance_state::Leaving;
  Table.onMessage(Ping, Network.now());
  Ping.From = numbered(1);
  Ping.Updates = {{numbered(2), 9, false}};
  Table.onMessage(Ping, Network.now());
  BOOST_TEST((Network.stateAt("n0", "n2") == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(a_joining_instance_applies_a_whole_table) {
  auto Network = convergedNetwork(1, 40);
  tarragon::membership::member_table Joining(numbered(77), Settings, 1,
                                             Network.now());
  Joining.applyRows(Network.table("n0").rows(), Network.now());
  BOOST_TEST(Joining.members().size() == 41U);
  // Older rows don't replace a newer state.
  Network.leave("n2");
  Joining.applyRows(Network.table("n2").rows(), Network.now());
  Joining.applyRows(Network.table("n0").rows(), Network.now());
  for (const auto &Member : Joining.members())
    if (Member.Id == "n2")
      BOOST_TEST((Member.State == instance_state::Leaving));
}
