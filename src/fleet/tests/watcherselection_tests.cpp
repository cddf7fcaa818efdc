#include "fleet/fleetcodec.h"
#include "fleet/tests/sourceoutage.h"
#include "fleet/watcherselection.h"
#include "global/json.h"

#include <boost/test/unit_test.hpp>
#include <json/json.h>

#include <random>
#include <set>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::fleet;

namespace {

const time_point Start{std::chrono::hours(2)};

using reply = source_outage::reply;

/// Returns how many of \p Count instances watch while the source answers.
auto watchers(const std::size_t Count) -> std::size_t {
  std::vector<watcher_selection::candidate> All;
  for (std::size_t Number = 0; Number < Count; ++Number)
    All.push_back(
        {"i" + std::to_string(Number), 1.0, "d" + std::to_string(Number % 5)});
  std::size_t Watching = 0;
  for (std::size_t Own = 0; Own < Count; ++Own) {
    std::vector<watcher_selection::candidate> Peers = All;
    Peers.erase(Peers.begin() + static_cast<std::ptrdiff_t>(Own));
    watcher_selection Selection(All[Own], 3000ms, Own, Start);
    Selection.setPeers(Peers);
    Selection.onPeerAge(0ms, Start);
    Watching += Selection.mustWatch(Start) ? 1 : 0;
  }
  return Watching;
}

/// A third of the instances is treated as \p During from 8 to 17 s and another
/// one from 25 to 34 s.
auto thirds(const reply During,
            std::function<bool(std::size_t Number, int Turn)> IsAffected)
    -> source_outage::behavior {
  return [=](const std::size_t Number, const milliseconds Time) {
    const int Turn = Time >= 8s && Time < 17s    ? 1
                     : Time >= 25s && Time < 34s ? 2
                                                 : 0;
    return Turn > 0 && IsAffected(Number, Turn) ? During : reply::Answers;
  };
}

struct deployment {
  std::size_t Count;
  milliseconds MaxDelay;
};

const std::vector<deployment> Deployments{
    {6, 3000ms}, {84, 5000ms}, {295, 6000ms}};

} // namespace

BOOST_AUTO_TEST_SUITE(watcherselection)

BOOST_AUTO_TEST_CASE(the_number_of_watchers_does_not_grow) {
  for (const std::size_t Count : {6, 90, 900})
    BOOST_TEST(watchers(Count) == watcher_selection::WatcherCount);
}

BOOST_AUTO_TEST_CASE(a_single_instance_watches) {
  watcher_selection Selection({"i", 1, "d"}, 3000ms, 1, Start);
  BOOST_TEST(Selection.mustWatch(Start));
  Selection.onAnswer(Start);
  BOOST_TEST(Selection.mustWatch(Start));
}

// The instances of highest capacity often share a domain and a fault.
BOOST_AUTO_TEST_CASE(watchers_are_in_different_domains) {
  const watcher_selection::candidate Strong{"strong", 2, "a"};
  const watcher_selection::candidate Second{"second", 2, "a"};
  const watcher_selection::candidate Third{"third", 2, "a"};
  const watcher_selection::candidate Other{"other", 1, "b"};
  const watcher_selection::candidate Last{"last", 1, "c"};
  const std::vector<watcher_selection::candidate> All{Strong, Second, Third,
                                                      Other, Last};
  std::set<std::string> Domains;
  for (const watcher_selection::candidate &Self : All) {
    watcher_selection Selection(Self, 3000ms, 1, Start);
    auto Peers = All;
    std::erase_if(Peers,
                  [&Self](const auto &Peer) { return Peer.Id == Self.Id; });
    Selection.setPeers(Peers);
    Selection.onPeerAge(0ms, Start);
    if (Selection.mustWatch(Start))
      BOOST_TEST(Domains.insert(Self.Domain).second);
  }
  BOOST_TEST(Domains.size() == watcher_selection::WatcherCount);
}

// All instances of a large deployment start together and know few peers, but a
// seed has heard of most.
BOOST_AUTO_TEST_CASE(the_calls_of_a_start_do_not_grow_with_the_instances) {
  for (const std::size_t Count : {6, 84, 295, 900}) {
    std::size_t Calls = 0;
    for (std::size_t Own = 0; Own < Count; ++Own) {
      watcher_selection Selection({"i" + std::to_string(Own), 1, "d"}, 6000ms,
                                  Own, Start);
      // Three seeds know no other at first, all others expect peers.
      if (Own >= 3)
        Selection.expectPeers();
      Calls += Selection.mustWatch(Start + 50ms) ? 1 : 0;
      Selection.onPeerCount(Count);
      Calls += Selection.mustWatch(Start + 150ms) ? 1 : 0;
      // A peer's copy has come.
      Selection.onPeerAge(10ms, Start + 200ms);
    }
    BOOST_TEST(Calls < 6 * watcher_selection::StartCallers);
    BOOST_TEST(Calls >= std::min<std::size_t>(Count, 10));
  }
}

// A process that was suspended must not report an answer as more recent than it
// is, and one that has just started knows of none.
BOOST_AUTO_TEST_CASE(a_start_is_no_answer) {
  watcher_selection Selection({"i", 1, "d"}, 3000ms, 1, Start);
  BOOST_TEST((Selection.answerAge(Start) > 1min));
  BOOST_TEST(!Selection.isStale(Start));
  Selection.onPeerAge(200ms, Start);
  BOOST_TEST((Selection.answerAge(Start + 100ms) == 300ms));
}

BOOST_AUTO_TEST_CASE(a_change_reaches_all_while_a_third_is_turned_away) {
  for (const deployment &Deployment : Deployments)
    for (const reply During : {reply::Refuses, reply::Ignores})
      for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
        source_outage Random(Deployment.Count, Deployment.MaxDelay, Seed);
        Random.run(thirds(During,
                          [Seed](const std::size_t Number, const int Turn) {
                            return (Number * 2654435761U + Seed + Turn) % 1009 %
                                       3 ==
                                   0;
                          }),
                   40s, 1700ms);
        BOOST_TEST((Random.longestDelay() < Deployment.MaxDelay));

        source_outage Strong(Deployment.Count, Deployment.MaxDelay, Seed);
        Strong.run(thirds(During,
                          [](const std::size_t Number, const int) {
                            return source_outage::capacityOf(Number) > 0.3 ||
                                   source_outage::domainOf(Number) == 0;
                          }),
                   40s, 1700ms);
        BOOST_TEST((Strong.longestDelay() < Deployment.MaxDelay));
        // Two kinds of documents are watched, each by such calls.
        BOOST_TEST(Strong.callsBetween(0s, 40s) < 700U);
      }
}

// The source answers one instance of many.
BOOST_AUTO_TEST_CASE(a_change_reaches_all_while_most_are_turned_away) {
  for (const deployment &Deployment : Deployments) {
    source_outage Outage(Deployment.Count, Deployment.MaxDelay, 5);
    Outage.run(thirds(reply::Refuses,
                      [](const std::size_t Number, const int Turn) {
                        return (Number + static_cast<std::size_t>(Turn)) % 3 !=
                               0;
                      }),
               40s, 1700ms);
    BOOST_TEST((Outage.longestDelay() < Deployment.MaxDelay));
  }
}

BOOST_AUTO_TEST_CASE(calls_during_an_outage_do_not_grow_with_the_instances) {
  for (const std::size_t Count : {84, 295, 900})
    for (const reply During : {reply::Refuses, reply::Ignores}) {
      source_outage Outage(Count, 6000ms, 3);
      Outage.run(
          [During](std::size_t, const milliseconds Time) {
            return Time >= 8s && Time < 28s ? During : reply::Answers;
          },
          30s, 1700ms);
      BOOST_TEST(Outage.callsBetween(8s, 28s) < 500U);
    }
}

BOOST_AUTO_TEST_CASE(extra_watchers_stop_after_a_fault) {
  source_outage Outage(295, 6000ms, 4);
  Outage.run(thirds(reply::Ignores,
                    [](const std::size_t Number, const int Turn) {
                      return Turn == 1 &&
                             (source_outage::capacityOf(Number) > 0.3);
                    }),
             45s, 1700ms);
  BOOST_TEST(Outage.callsBetween(35s, 45s) < 2 * Outage.callsBetween(0s, 10s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fleetcodec)

BOOST_AUTO_TEST_CASE(a_datagram_survives_a_round_trip) {
  fleet_datagram Datagram;
  Datagram.Gossip.From.Id = "i1";
  Datagram.Gossip.Sequence = 9;
  Datagram.Status.Documents["routes"] = {12, 7};
  Datagram.Status.SourceAnswerAge = 34ms;
  Datagram.Status.Ready = true;
  const auto Read = readDatagram(writeDatagram(Datagram));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Gossip.From.Id == "i1");
  BOOST_TEST(Read->Gossip.Sequence == 9);
  BOOST_TEST(Read->Status.Documents.at("routes").AsOf == 12);
  BOOST_TEST(Read->Status.Documents.at("routes").Changed == 7);
  BOOST_TEST(Read->Status.SourceAnswerAge.count() == 34);
  BOOST_TEST(Read->Status.Ready);
}

// An instance of an earlier build takes each document in the first field that
// isn't the routes for the list of targets, and would lose all targets.
BOOST_AUTO_TEST_CASE(a_later_document_is_not_shown_to_earlier_builds) {
  fleet_datagram Datagram;
  Datagram.Gossip.From.Id = "i1";
  Datagram.Status.Documents["routes"] = {12, 7};
  Datagram.Status.Documents["later"] = {13, 8};
  Datagram.Status.LaterDocuments = {"later"};
  const std::string Text = writeDatagram(Datagram);
  const auto Status = parseJson(Text).value()["digest"];
  BOOST_TEST(Status["documents"].isMember("routes"));
  BOOST_TEST(!Status["documents"].isMember("later"));
  const auto Read = readDatagram(Text);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Status.Documents.at("later").AsOf == 13U);
  BOOST_TEST(Read->Status.Documents.at("later").Changed == 8U);
}

BOOST_AUTO_TEST_CASE(corrupt_bytes_do_not_crash_the_reader) {
  std::mt19937_64 Random(11);
  fleet_datagram Datagram;
  Datagram.Gossip.From.Id = "i1";
  Datagram.Status.Documents["routes"] = {12, 7};
  const std::string Valid = writeDatagram(Datagram);
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = Valid;
    for (int Change = 0; Change < 4; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    readDatagram(Text);
    readDatagram(Text.substr(0, Random() % Text.size()));
  }
  BOOST_TEST(!readDatagram("[]").has_value());
  BOOST_TEST(!readDatagram("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
