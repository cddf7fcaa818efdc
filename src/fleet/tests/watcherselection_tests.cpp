#include "fleet/fleetcodec.h"
#include "fleet/watcherselection.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::fleet;

namespace {

/// Returns how many of \p Count instances watch when the source answers those
/// with a number below \p Answered.
auto watchers(const std::size_t Count, const std::size_t Answered)
    -> std::size_t {
  std::size_t Watching = 0;
  for (std::size_t Own = 0; Own < Count; ++Own) {
    std::vector<watcher_selection::peer> Peers;
    for (std::size_t Peer = 0; Peer < Count; ++Peer)
      if (Peer != Own)
        Peers.push_back({"i" + std::to_string(Peer),
                         Peer < Answered ? 100ms : milliseconds(1h), 1.0});
    Watching += watcher_selection("i" + std::to_string(Own), 1).mustWatch(Peers)
                    ? 1
                    : 0;
  }
  return Watching;
}

} // namespace

BOOST_AUTO_TEST_SUITE(watcherselection)

BOOST_AUTO_TEST_CASE(the_number_of_watchers_does_not_grow) {
  for (const std::size_t Count : {6, 90, 900})
    BOOST_TEST(watchers(Count, Count) == watcher_selection::WatcherCount);
}

BOOST_AUTO_TEST_CASE(an_outage_does_not_make_all_instances_watch) {
  BOOST_TEST(watchers(900, 0) == watcher_selection::MaxWatcherCount);
  BOOST_TEST(watchers(6, 0) == 6);
}

BOOST_AUTO_TEST_CASE(a_single_instance_watches) {
  BOOST_TEST(watcher_selection("i", 1).mustWatch({}));
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
