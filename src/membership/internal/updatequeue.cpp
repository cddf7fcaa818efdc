#include "membership/internal/updatequeue.h"

namespace tarragon::membership {

auto update_queue::push(const instance_id &Id) -> void {
  const auto [Entry, Added] = Sent.emplace(Id, 0);
  if (!Added)
    Order.erase({Entry->second, Id});
  Entry->second = 0;
  Order.emplace(0, Id);
}

auto update_queue::pop(const std::size_t MaxCount, const std::size_t MaxSends)
    -> std::vector<instance_id> {
  std::vector<instance_id> Ids;
  for (const auto &[Count, Id] : Order) {
    if (Ids.size() == MaxCount)
      break;
    Ids.push_back(Id);
  }
  for (const instance_id &Id : Ids) {
    const auto Entry = Sent.find(Id);
    Order.erase({Entry->second, Id});
    ++Entry->second;
    if (Entry->second < MaxSends)
      Order.emplace(Entry->second, Id);
    else
      Sent.erase(Entry);
  }
  return Ids;
}

} // namespace tarragon::membership
