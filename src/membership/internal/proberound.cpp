#include "membership/internal/proberound.h"

#include <algorithm>

namespace tarragon::membership {

namespace {

auto alive(const probe_round::records &Records, const instance_id &Id) -> bool {
  const auto Found = Records.find(Id);
  return Found != Records.end() && Found->second.alive();
}

} // namespace

auto probe_round::next(const records &Records, std::mt19937_64 &Random)
    -> std::optional<instance_id> {
  if (auto Id = nextOfRound(Records))
    return Id;
  Order.clear();
  Position = 0;
  for (const auto &[Id, Record] : Records)
    if (Record.alive())
      Order.push_back(Id);
  std::shuffle(Order.begin(), Order.end(), Random);
  return nextOfRound(Records);
}

auto probe_round::insert(const instance_id &Id, std::mt19937_64 &Random)
    -> void {
  std::uniform_int_distribution<std::size_t> Place(Position, Order.size());
  Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(Place(Random)), Id);
}

auto probe_round::sample(const records &Records, const std::size_t Count,
                         const instance_id &Except,
                         std::mt19937_64 &Random) const
    -> std::vector<instance_id> {
  constexpr std::size_t TriesPerPick = 8;
  std::vector<instance_id> Picked;
  if (Order.empty())
    return Picked;
  std::uniform_int_distribution<std::size_t> Place(0, Order.size() - 1);
  for (std::size_t Try = 0; Try < Count * TriesPerPick; ++Try) {
    const instance_id &Id = Order[Place(Random)];
    const bool AlreadyPicked =
        std::find(Picked.begin(), Picked.end(), Id) != Picked.end();
    if (Id != Except && !AlreadyPicked && alive(Records, Id))
      Picked.push_back(Id);
    if (Picked.size() == Count)
      break;
  }
  return Picked;
}

auto probe_round::nextOfRound(const records &Records)
    -> std::optional<instance_id> {
  while (Position < Order.size()) {
    const instance_id &Id = Order[Position++];
    if (alive(Records, Id))
      return Id;
  }
  return std::nullopt;
}

} // namespace tarragon::membership
