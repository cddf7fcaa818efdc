#include "fleet/tests/sourceoutage.h"

#include <algorithm>

namespace tarragon::fleet {

namespace {

constexpr milliseconds GossipPeriod{400};
constexpr milliseconds OneWay{2};
constexpr milliseconds PollPeriod{250};
constexpr milliseconds FirstWait{100};
constexpr milliseconds TimeoutMargin{500};
constexpr milliseconds MinBackoff{250};
constexpr int MaxBackoffDoublings = 3;
constexpr std::size_t Fanout = 16;
constexpr std::size_t RelayFanout = 4;
/// Instances have started and found each other by then.
constexpr milliseconds SettledAt{5000};

} // namespace

auto source_outage::capacityOf(const std::size_t Number) -> double {
  constexpr std::size_t Classes = 3;
  return 0.12 * static_cast<double>(1 + Number / 5 % Classes);
}

source_outage::source_outage(const std::size_t Count,
                             const milliseconds MaxDelay,
                             const std::uint64_t Seed)
    : Random(Seed), MaxWait(MaxDelay / 2) {
  for (std::size_t Number = 0; Number < Count; ++Number) {
    Candidates.push_back({"i" + std::to_string(Number), capacityOf(Number),
                          std::to_string(domainOf(Number))});
    Nodes.push_back(
        {watcher_selection(Candidates.back(), MaxDelay, Random(), time())});
  }
}

auto source_outage::schedule(const milliseconds Delay,
                             std::function<void()> Step) -> void {
  Events.push({Now + Delay, NextNumber++, std::move(Step)});
}

auto source_outage::randomPeer(const std::size_t Number) -> std::size_t {
  const std::size_t Peer = Random() % (Nodes.size() - 1);
  return Peer < Number ? Peer : Peer + 1;
}

auto source_outage::run(behavior NewSource, const milliseconds Length,
                        const milliseconds NewChangePeriod) -> void {
  Source = std::move(NewSource);
  ChangePeriod = NewChangePeriod;
  for (std::size_t Number = 0; Number < Nodes.size(); ++Number) {
    auto Peers = Candidates;
    Peers.erase(Peers.begin() + static_cast<std::ptrdiff_t>(Number));
    Nodes[Number].Selection.setPeers(Peers);
    schedule(milliseconds(Random() % PollPeriod.count()),
             [this, Number] { poll(Number); });
    schedule(milliseconds(Random() % GossipPeriod.count()),
             [this, Number] { gossip(Number); });
  }
  schedule(ChangePeriod, [this] { change(); });
  while (!Events.empty() && Events.top().At < Length) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Step();
  }
  // A change that has not reached an instance by the end.
  for (const node &Node : Nodes)
    for (std::size_t Version = Node.Version + 1; Version < ChangedAt.size();
         ++Version)
      if (ChangedAt[Version] >= SettledAt)
        LongestDelay = std::max(LongestDelay, Length - ChangedAt[Version]);
}

auto source_outage::change() -> void {
  ChangedAt.push_back(Now);
  schedule(ChangePeriod, [this] { change(); });
  for (std::size_t Number = 0; Number < Nodes.size(); ++Number)
    if (Nodes[Number].Call > 0)
      onReply(Number, Nodes[Number].Call);
}

auto source_outage::poll(const std::size_t Number) -> void {
  node &Node = Nodes[Number];
  if (Node.Selection.mustWatch(time()))
    return call(Number);
  Node.Active = false;
  schedule(PollPeriod, [this, Number] { poll(Number); });
}

auto source_outage::call(const std::size_t Number) -> void {
  CalledAt.push_back(Now);
  node &Node = Nodes[Number];
  const std::uint64_t Call = NextNumber++;
  Node.Call = Call;
  const milliseconds Wait =
      Node.Active
          ? MaxWait * 3 / 4 + milliseconds(Random() % (MaxWait.count() / 4))
          : FirstWait;
  Node.CallEnd = Now + Wait;
  if (Source(Number, Now) == reply::Refuses)
    return schedule(2 * OneWay, [this, Number] { onFailure(Number); });
  const bool IsBehind = Node.Version + 1 < static_cast<int>(ChangedAt.size());
  schedule(IsBehind ? 2 * OneWay : Wait,
           [this, Number, Call] { onReply(Number, Call); });
  schedule(Wait + TimeoutMargin, [this, Number, Call] {
    if (Nodes[Number].Call == Call)
      onFailure(Number);
  });
}

auto source_outage::onReply(const std::size_t Number, const std::uint64_t Call)
    -> void {
  node &Node = Nodes[Number];
  if (Node.Call != Call || Source(Number, Now) != reply::Answers)
    return;
  Node.Call = 0;
  Node.Active = true;
  Node.Failures = 0;
  Node.Selection.onAnswer(time());
  learn(Number, static_cast<int>(ChangedAt.size()) - 1, Fanout);
  schedule(2 * OneWay, [this, Number] { poll(Number); });
}

auto source_outage::onFailure(const std::size_t Number) -> void {
  node &Node = Nodes[Number];
  Node.Call = 0;
  Node.Active = false;
  std::size_t Helpers = Node.Selection.onFailure(time());
  for (; Helpers > 0; --Helpers) {
    const std::size_t Peer = randomPeer(Number);
    schedule(OneWay,
             [this, Peer] { Nodes[Peer].Selection.onHelpRequest(time()); });
  }
  const auto Pause =
      MinBackoff * (1 << std::min(Node.Failures++, MaxBackoffDoublings));
  schedule(Pause, [this, Number] { poll(Number); });
}

auto source_outage::gossip(const std::size_t Number) -> void {
  const std::size_t Peer = randomPeer(Number);
  watcher_selection &Own = Nodes[Number].Selection;
  watcher_selection &Other = Nodes[Peer].Selection;
  Other.onPeerAge(Own.answerAge(time()), time());
  Own.onPeerAge(Other.answerAge(time()), time());
  learn(Peer, Nodes[Number].Version, RelayFanout);
  learn(Number, Nodes[Peer].Version, RelayFanout);
  schedule(GossipPeriod, [this, Number] { gossip(Number); });
}

auto source_outage::learn(const std::size_t Number, const int Version,
                          const std::size_t Announcements) -> void {
  node &Node = Nodes[Number];
  if (Version <= Node.Version)
    return;
  while (Node.Version < Version) {
    const milliseconds At = ChangedAt[static_cast<std::size_t>(++Node.Version)];
    if (At >= SettledAt)
      LongestDelay = std::max(LongestDelay, Now - At);
  }
  for (std::size_t Count = 0; Count < Announcements; ++Count) {
    const std::size_t Peer = randomPeer(Number);
    schedule(4 * OneWay,
             [this, Peer, Version] { learn(Peer, Version, RelayFanout); });
  }
}

auto source_outage::callsBetween(const milliseconds From,
                                 const milliseconds To) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      CalledAt.begin(), CalledAt.end(),
      [&](const milliseconds At) { return From <= At && At < To; }));
}

} // namespace tarragon::fleet
