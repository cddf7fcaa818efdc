#include "slope.h"

#include "membership/addressranking.h"
#include "membership/membertable.h"
#include "membership/ownermap.h"

#include <memory>

namespace tarragon::slopes {

namespace {

using membership::gossip_kind;
using membership::gossip_message;
using membership::member_table;

const std::vector<double> Fleets{8, 100, 300, 900};
constexpr std::size_t Domains = 8;
constexpr std::size_t Calls = 2000;

auto numbered(const std::size_t Index) -> instance {
  const std::string Number = std::to_string(Index);
  return {"entry-" + Number,
          "10.20.30." + Number + ":8080",
          "10.20.30." + Number + ":8081",
          "domain-" + std::to_string(Index % Domains),
          1,
          instance_state::Live};
}

auto fleet(const std::size_t Size) -> std::vector<instance> {
  std::vector<instance> Fleet;
  for (std::size_t Index = 0; Index < Size; ++Index)
    Fleet.push_back(numbered(Index));
  return Fleet;
}

auto pingFrom(const instance &From) -> gossip_message {
  gossip_message Ping;
  Ping.From = From;
  return Ping;
}

/// Returns a table with \p Size live members and an empty update queue.
auto settledTable(const std::size_t Size) -> std::unique_ptr<member_table> {
  const time_point Start{std::chrono::hours(1)};
  auto Table = std::make_unique<member_table>(
      numbered(0), membership::membership_settings{}, 1, Start);
  for (std::size_t Index = 1; Index < Size; ++Index)
    Table->onMessage(pingFrom(numbered(Index)), Start);
  const std::size_t Messages = 4 * Size;
  for (std::size_t Sent = 0; Sent < Messages; ++Sent)
    Table->onMessage(pingFrom(numbered(1)), Start);
  return Table;
}

auto pingCost(const std::size_t Size) -> double {
  const auto Table = settledTable(Size);
  const time_point Now{std::chrono::hours(1)};
  std::size_t Next = 0;
  return processorTime(Calls, [&] {
    Next = Next % (Size - 1) + 1;
    Table->onMessage(pingFrom(numbered(Next)), Now);
  });
}

/// Measures one probe period: sends the probes and processes their acks.
auto periodCost(const std::size_t Size) -> double {
  const auto Table = settledTable(Size);
  time_point Now{std::chrono::hours(1)};
  return processorTime(Calls, [&] {
    Now = Table->nextWake();
    for (auto &Out : Table->onTimer(Now)) {
      gossip_message Ack = pingFrom(Out.To);
      Ack.Kind = gossip_kind::Ack;
      Ack.Sequence = Out.Message.Sequence;
      Table->onMessage(Ack, Now);
    }
  });
}

/// Measures a message with the maximum number of updates, all of them new.
auto updateCost(const std::size_t Size) -> double {
  const auto Table = settledTable(Size);
  const time_point Now{std::chrono::hours(1)};
  const membership::membership_settings Settings;
  std::uint64_t Refutation = 0;
  return processorTime(Calls, [&] {
    gossip_message Ping = pingFrom(numbered(1));
    ++Refutation;
    for (std::size_t Row = 0; Row < Settings.UpdatesPerMessage; ++Row)
      Ping.Updates.push_back(
          {numbered(1 + Row % (Size - 1)), Refutation, false});
    Table->onMessage(Ping, Now);
  });
}

auto tableBytes(const std::size_t Size) -> double {
  const std::size_t Before = allocatedBytes();
  const auto Table = settledTable(Size);
  return static_cast<double>(allocatedBytes() - Before);
}

auto copyCost(const std::size_t Size) -> double {
  const auto Table = settledTable(Size);
  return processorTime(Calls / 4, [&] { Table->members(); });
}

auto ownerCost(const std::size_t Size) -> double {
  const auto Fleet = fleet(Size);
  const replica_group Group{"petals/0",
                            {{"t1", "10.0.0.1:1", "domain-1"},
                             {"t2", "10.0.0.2:1", "domain-2"},
                             {"t3", "10.0.0.3:1", "domain-3"}}};
  return processorTime(Calls / 4, [&] { membership::ownerOf(Group, Fleet); });
}

auto rankCost(const std::size_t Size) -> double {
  const auto Fleet = fleet(Size);
  std::uint64_t Spread = 0;
  return processorTime(Calls / 4, [&] {
    membership::rankAddresses(Fleet, "domain-1", Spread++, milliseconds(5000));
  });
}

} // namespace

auto memberSlopes() -> std::vector<slope> {
  return {measure("member_ping_time", "ns", "member", Fleets, pingCost),
          measure("member_period_time", "ns", "member", Fleets, periodCost),
          measure("member_news_time", "ns", "member", Fleets, updateCost),
          measure("member_table_memory", "bytes", "member", Fleets, tableBytes),
          measure("member_copy_time", "ns", "member", Fleets, copyCost),
          measure("owner_choice_time", "ns", "member", Fleets, ownerCost),
          measure("address_ranking_time", "ns", "member", Fleets, rankCost)};
}

} // namespace tarragon::slopes
