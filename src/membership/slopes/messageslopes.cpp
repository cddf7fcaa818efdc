#include "slope.h"

#include "peer/internal/rpcenvelope.h"
#include "peer/peercodec.h"

#include <json/json.h>

#include <sstream>

namespace tarragon::slopes {

namespace {

using peer::peer_message;

const std::vector<double> Batches{1, 10, 100};
const std::vector<double> Updates{0, 4, 8, 16};
constexpr std::size_t BodyBytes = 120;
constexpr std::size_t ItemBytes = 80;
constexpr std::size_t Items = 10;
constexpr std::size_t MessagesPerRound = 1000;

const time_point Now{std::chrono::hours(1)};

auto dispatchOf(const std::uint32_t Part) -> peer_message {
  subrequest Request;
  Request.Id = {4711, Part, 0};
  Request.Coordinator = "entry-17";
  Request.Contract = "search";
  Request.Service = "petals";
  Request.Group = "petals/0";
  Request.Version = 7;
  Request.ShardCount = 540;
  Request.Limit = Items;
  Request.Body = std::string(BodyBytes, 'b');
  Request.Fingerprint = 0x123456789abcdef0;
  Request.Deadline = Now + milliseconds(200);
  return peer::dispatch_message{Request};
}

auto settleOf(const std::uint32_t Part) -> peer_message {
  settlement Settlement;
  Settlement.Id = {4711, Part, 0};
  Settlement.Outcome = attempt_outcome::Answered;
  Settlement.Version = 7;
  Settlement.ShardCount = 540;
  for (std::size_t Item = 0; Item < Items; ++Item)
    Settlement.Items.push_back(
        {"key-" + std::to_string(Item), 0.125, std::string(ItemBytes, 'i')});
  Settlement.Target = "petals-0-a";
  Settlement.Held = {{7, 540}, {6, 540}};
  Settlement.Attempts = 1;
  return peer::settle_message{Settlement};
}

auto gossipOf(const std::size_t Count) -> peer_message {
  const instance From{"entry-17", "10.20.30.17:8080", "10.20.30.17:8081",
                      "domain-1", 1780000000000,      instance_state::Live};
  membership::gossip_message Message;
  Message.Sequence = 0x12345678;
  Message.From = From;
  Message.Config = 41;
  Message.Digest = 0x123456789abcdef0;
  Message.Updates.assign(Count, {From, 2, false});
  return Message;
}

/// Returns the body of one call with \p Messages as its parameters.
auto encodeBatch(const std::vector<peer_message> &Messages) -> std::string {
  Json::Value Parameters;
  Parameters["messages"] = Json::Value(Json::arrayValue);
  for (const peer_message &Message : Messages)
    Parameters["messages"].append(peer::encodeMessage(Message, Now));
  return peer::makeNotification(Parameters);
}

auto decodeBatch(const std::string &Body) -> void {
  Json::Value Call;
  std::istringstream(Body) >> Call;
  for (const Json::Value &Value : Call["params"]["messages"])
    if (!peer::decodeMessage(Value, Now))
      std::abort();
}

using maker = peer_message (*)(std::uint32_t);

auto batchOf(const maker Make, const std::size_t Size)
    -> std::vector<peer_message> {
  std::vector<peer_message> Batch;
  for (std::size_t Part = 0; Part < Size; ++Part)
    Batch.push_back(Make(static_cast<std::uint32_t>(Part)));
  return Batch;
}

auto addBatchSlopes(const std::string &Kind, const maker Make,
                    std::vector<slope> &Slopes) -> void {
  Slopes.push_back(measure(Kind + "_encode_time", "ns", "message", Batches,
                           [Make](const std::size_t Size) {
                             const auto Batch = batchOf(Make, Size);
                             return processorTime(
                                 MessagesPerRound / Size,
                                 [&Batch] { encodeBatch(Batch); });
                           }));
  Slopes.push_back(measure(Kind + "_decode_time", "ns", "message", Batches,
                           [Make](const std::size_t Size) {
                             const auto Body = encodeBatch(batchOf(Make, Size));
                             return processorTime(
                                 MessagesPerRound / Size,
                                 [&Body] { decodeBatch(Body); });
                           }));
  Slopes.push_back(measure(Kind + "_bytes", "bytes", "message", Batches,
                           [Make](const std::size_t Size) {
                             return static_cast<double>(
                                 encodeBatch(batchOf(Make, Size)).size());
                           }));
}

} // namespace

auto messageSlopes() -> std::vector<slope> {
  std::vector<slope> Slopes;
  addBatchSlopes("dispatch", dispatchOf, Slopes);
  addBatchSlopes("settle", settleOf, Slopes);
  Slopes.push_back(measure(
      "gossip_bytes", "bytes", "update", Updates, [](const std::size_t Count) {
        return static_cast<double>(encodeBatch({gossipOf(Count)}).size());
      }));
  Slopes.push_back(measure("gossip_codec_time", "ns", "update", Updates,
                           [](const std::size_t Count) {
                             const std::vector<peer_message> Batch{
                                 gossipOf(Count)};
                             return processorTime(MessagesPerRound, [&Batch] {
                               decodeBatch(encodeBatch(Batch));
                             });
                           }));
  return Slopes;
}

} // namespace tarragon::slopes
