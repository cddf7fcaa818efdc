#include "slope.h"

#include "admission/poisontracker.h"
#include "once/ticketledger.h"

namespace tarragon::slopes {

namespace {

const std::vector<double> Counts{100, 1000, 4000};
const time_point Now{std::chrono::hours(1)};
constexpr std::size_t ItemBytes = 80;

/// Returns the answer of a non-repeatable request, with one item.
auto shortAnswer() -> query_answer {
  query_answer Answer;
  Answer.RequestId = "caller-17-000000001";
  Answer.Code = result_code::Ok;
  Answer.Version = 7;
  Answer.Coverage = {1, 1, {}};
  Answer.Items = {{"order-000001", 0, std::string(ItemBytes, 'i')}};
  Answer.Attempts = 1;
  return Answer;
}

auto ticketBytes(const std::size_t Count) -> double {
  const std::size_t Before = allocatedBytes();
  once::ticket_ledger Ledger("entry-17", 1, Now, milliseconds(60000));
  for (std::size_t Number = 0; Number < Count; ++Number)
    for (const once::ticket &Ticket : Ledger.issue(1, Now)) {
      Ledger.begin(Ticket, Number, Now);
      Ledger.finish(Ticket, shortAnswer(), Now);
    }
  return static_cast<double>(allocatedBytes() - Before);
}

auto ticketTime(const std::size_t Count) -> double {
  return processorTime(1, [Count] { ticketBytes(Count); }) /
         static_cast<double>(Count);
}

auto poisonBytes(const std::size_t Count) -> double {
  const std::size_t Before = allocatedBytes();
  admission::poison_tracker Tracker(milliseconds(600000));
  for (std::size_t Number = 0; Number < Count; ++Number)
    for (const char *Target : {"petals-0-a", "petals-0-b"})
      Tracker.recordCrash({Number, Target}, Now);
  return static_cast<double>(allocatedBytes() - Before);
}

} // namespace

auto stateSlopes() -> std::vector<slope> {
  return {
      measure("ticket_memory", "bytes", "ticket", Counts, ticketBytes),
      measure("ticket_time", "ns", "ticket held", Counts, ticketTime),
      measure("poison_memory", "bytes", "fingerprint", Counts, poisonBytes)};
}

} // namespace tarragon::slopes
