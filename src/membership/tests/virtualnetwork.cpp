#include "virtualnetwork.h"

#include <algorithm>

namespace tarragon::membership::tests {

virtual_network::virtual_network(const std::uint64_t Seed,
                                 const membership_settings Settings)
    : Settings(Settings), Random(Seed) {}

auto virtual_network::start(const instance &Self,
                            const std::vector<instance> &List) -> void {
  node &Node = Nodes[Self.Id];
  Node = {};
  Node.Address = Self.PeerAddress;
  ByAddress[Self.PeerAddress] = Self.Id;
  Node.Table.emplace(Self, Settings, Random(), Now);
  Node.Table->adoptInstanceList(List, Now);
  schedule(Self.Id);
}

auto virtual_network::stop(const instance_id &Id) -> void { Nodes.erase(Id); }

auto virtual_network::pause(const instance_id &Id) -> void {
  Nodes.at(Id).Paused = true;
}

auto virtual_network::resume(const instance_id &Id, const bool TimerFirst)
    -> void {
  node &Node = Nodes.at(Id);
  Node.Paused = false;
  const auto Buffered = std::move(Node.Buffered);
  Node.Buffered.clear();
  if (TimerFirst)
    send(Id, Node.Table->onTimer(Now));
  for (const gossip_message &Message : Buffered)
    send(Id, Node.Table->onMessage(Message, Now));
  schedule(Id);
}

auto virtual_network::leave(const instance_id &Id) -> void {
  send(Id, Nodes.at(Id).Table->leave(Now));
}

auto virtual_network::run(const milliseconds Time) -> void {
  runUntil([] { return false; }, Time);
}

auto virtual_network::runUntil(const std::function<bool()> &Done,
                               const milliseconds MaxTime) -> milliseconds {
  constexpr milliseconds Step{50};
  const time_point Start = Now;
  while (!Done()) {
    if (Now - Start >= MaxTime)
      return MaxTime + milliseconds{1};
    const time_point Stop = Now + Step;
    while (!Events.empty() && Events.top().At <= Stop) {
      const event Event = Events.top();
      Events.pop();
      Now = std::max(Now, Event.At);
      handle(Event);
    }
    Now = Stop;
  }
  return std::chrono::duration_cast<milliseconds>(Now - Start);
}

auto virtual_network::table(const instance_id &Id) -> member_table & {
  return *Nodes.at(Id).Table;
}

auto virtual_network::ids() const -> std::vector<instance_id> {
  std::vector<instance_id> Ids;
  for (const auto &[Id, Node] : Nodes)
    Ids.push_back(Id);
  return Ids;
}

auto virtual_network::stateAt(const instance_id &Viewer,
                              const instance_id &Seen)
    -> std::optional<instance_state> {
  for (const instance &Member : table(Viewer).members())
    if (Member.Id == Seen)
      return Member.State;
  return std::nullopt;
}

auto virtual_network::allSee(const std::vector<instance_id> &Ids,
                             const instance_state State) -> bool {
  for (auto &[Viewer, Node] : Nodes) {
    std::map<instance_id, instance_state> States;
    for (const instance &Member : Node.Table->members())
      States[Member.Id] = Member.State;
    for (const instance_id &Id : Ids) {
      const auto Found = States.find(Id);
      if (Found == States.end() || Found->second != State)
        return false;
    }
  }
  return true;
}

auto virtual_network::send(const instance_id &From,
                           std::vector<outgoing_gossip> Messages) -> void {
  std::uniform_int_distribution<int> Delay(1, 20);
  std::uniform_real_distribution<double> Chance(0, 1);
  for (outgoing_gossip &Out : Messages) {
    ++Sent[From];
    MaxUpdates = std::max(MaxUpdates, Out.Message.Updates.size());
    if (Chance(Random) < Loss || (Blocked && Blocked(From, Out.To.Id)))
      continue;
    Events.push({Now + milliseconds(Delay(Random)), Number++,
                 Out.To.PeerAddress, "", std::move(Out.Message)});
  }
}

auto virtual_network::schedule(const instance_id &Id) -> void {
  node &Node = Nodes.at(Id);
  const time_point Wake = std::max(Node.Table->nextWake(), Now);
  if (Wake >= Node.Wake)
    return;
  Node.Wake = Wake;
  Events.push({Wake, Number++, "", Id, {}});
}

auto virtual_network::handle(const event &Event) -> void {
  if (Event.To.empty()) {
    handleTimer(Event);
    return;
  }
  const auto Id = ByAddress.find(Event.To);
  if (Id == ByAddress.end() || !Nodes.contains(Id->second))
    return;
  node &Node = Nodes.at(Id->second);
  if (Node.Paused) {
    Node.Buffered.push_back(Event.Message);
    return;
  }
  send(Id->second, Node.Table->onMessage(Event.Message, Now));
  schedule(Id->second);
}

auto virtual_network::handleTimer(const event &Event) -> void {
  const auto Found = Nodes.find(Event.Node);
  if (Found == Nodes.end() || Found->second.Wake != Event.At)
    return;
  node &Node = Found->second;
  Node.Wake = time_point::max();
  if (Node.Paused)
    return;
  if (Node.Table->nextWake() <= Now)
    send(Event.Node, Node.Table->onTimer(Now));
  schedule(Event.Node);
}

auto numbered(const std::size_t Index, const incarnation Incarnation)
    -> instance {
  const std::string Number = std::to_string(Index);
  return {"n" + Number,         "10.0.0.1:" + Number,
          "10.0.1.1:" + Number, "d" + std::to_string(Index % 3),
          Incarnation,          instance_state::Live};
}

auto fleet(const std::size_t Size) -> std::vector<instance> {
  std::vector<instance> Fleet;
  for (std::size_t Index = 0; Index < Size; ++Index)
    Fleet.push_back(numbered(Index));
  return Fleet;
}

auto idsOf(const std::vector<instance> &Fleet) -> std::vector<instance_id> {
  std::vector<instance_id> Ids;
  for (const instance &Instance : Fleet)
    Ids.push_back(Instance.Id);
  return Ids;
}

} // namespace tarragon::membership::tests
