#include "admission/internal/fairqueue.h"

#include <algorithm>

namespace tarragon::admission::internal {

auto fair_queue::push(request_state &Request) -> void {
  flow &Flow = Flows[Request.Request.Contract];
  Flow.Stats = Request.Stats;
  if (Flow.Size == 0)
    Flow.Start = std::max(Flow.Start, VirtualTime);
  Flow.Classes[queue_class::of(Request)].emplace(Request.Request.Deadline,
                                                 Request.Number);
  ++Flow.Size;
  ++Size;
  Request.Queued = true;
}

auto fair_queue::remove(request_state &Request) -> void {
  if (!Request.Queued)
    return;
  Request.Queued = false;
  flow &Flow = Flows.at(Request.Request.Contract);
  const auto Class = Flow.Classes.find(queue_class::of(Request));
  Class->second.erase({Request.Request.Deadline, Request.Number});
  if (Class->second.empty())
    Flow.Classes.erase(Class);
  --Flow.Size;
  --Size;
}

auto fair_queue::charge(const request_state &Request) -> void {
  flow &Flow = Flows[Request.Request.Contract];
  VirtualTime = std::max(VirtualTime, Flow.Start);
  ++Flow.Started;
  Flow.Start += static_cast<double>(Request.Stats->mean().count());
}

auto fair_queue::offer(const std::function<bool(request_number)> &TryStart)
    -> void {
  bool Started = Size > 0;
  while (Started) {
    std::vector<flow *> Order;
    for (auto &[Contract, Flow] : Flows)
      if (Flow.Size > 0)
        Order.push_back(&Flow);
    std::sort(Order.begin(), Order.end(),
              [](const flow *A, const flow *B) { return A->Start < B->Start; });
    Started = std::any_of(Order.begin(), Order.end(), [&](flow *Flow) {
      return offerFrom(*Flow, TryStart);
    });
  }
}

auto fair_queue::offerFrom(flow &Flow,
                           const std::function<bool(request_number)> &TryStart)
    -> bool {
  if (Flow.Classes.size() == 1)
    return TryStart(Flow.Classes.begin()->second.begin()->second);
  const bool ByDeadline = Flow.Started % DeadlineTurn == DeadlineTurn - 1;
  std::set<std::pair<int, entry>> Heads;
  for (const auto &[Class, Entries] : Flow.Classes)
    Heads.emplace(ByDeadline ? 0 : Class.Priority, *Entries.begin());
  return std::any_of(Heads.begin(), Heads.end(), [&](const auto &Head) {
    return TryStart(Head.second.second);
  });
}

auto fair_queue::countBefore(const flow &Flow, const int Priority,
                             const time_point Deadline) -> double {
  double Before = 0;
  for (const auto &[Class, Entries] : Flow.Classes) {
    if (Class.Priority > Priority)
      break;
    if (Class.Priority < Priority) {
      Before += static_cast<double>(Entries.size());
      continue;
    }
    const time_point First = Entries.begin()->first;
    const time_point Last = Entries.rbegin()->first;
    if (Deadline < First)
      continue;
    const auto Count = static_cast<double>(Entries.size());
    if (Deadline >= Last)
      Before += Count;
    else
      Before += Count * std::chrono::duration<double>(Deadline - First) /
                std::chrono::duration<double>(Last - First);
  }
  return Before;
}

auto fair_queue::workAhead(const request_state &Request) const -> microseconds {
  const auto Mean = static_cast<double>(Request.Stats->mean().count());
  double OwnWork = Mean;
  const auto OwnFlow = Flows.find(Request.Request.Contract);
  if (OwnFlow != Flows.end())
    OwnWork += countBefore(OwnFlow->second, Request.Request.Priority,
                           Request.Request.Deadline) *
               Mean;
  double Work = OwnWork;
  for (const auto &[Contract, Flow] : Flows)
    if (Flow.Size > 0 && Contract != Request.Request.Contract)
      Work += std::min(OwnWork,
                       static_cast<double>(Flow.Size) *
                           static_cast<double>(Flow.Stats->mean().count()));
  return microseconds{static_cast<microseconds::rep>(Work)};
}

auto fair_queue::evictionCandidate() const -> std::optional<request_number> {
  const flow *Longest = nullptr;
  for (const auto &[Contract, Flow] : Flows)
    if (Longest == nullptr || Flow.Size > Longest->Size)
      Longest = &Flow;
  if (Longest == nullptr || Longest->Size == 0)
    return std::nullopt;
  const int Lowest = Longest->Classes.rbegin()->first.Priority;
  entry Latest = *Longest->Classes.rbegin()->second.rbegin();
  for (const auto &[Class, Entries] : Longest->Classes)
    if (Class.Priority == Lowest)
      Latest = std::max(Latest, *Entries.rbegin());
  return Latest.second;
}

auto fair_queue::requestNumbers() const -> std::vector<request_number> {
  std::vector<request_number> Numbers;
  for (const auto &[Contract, Flow] : Flows)
    for (const auto &[Class, Entries] : Flow.Classes)
      for (const auto &[Deadline, Number] : Entries)
        Numbers.push_back(Number);
  return Numbers;
}

} // namespace tarragon::admission::internal
