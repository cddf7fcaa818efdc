#include "peer/internal/rpcenvelope.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>

namespace tarragon {
namespace peer {

namespace {

/// Captures the request text instead of sending it.
class capturing_connector : public jsonrpc::IClientConnector {
public:
  // The overridden function has this exception specification.
  void // NOLINT(modernize-use-trailing-return-type)
  SendRPCMessage(const std::string &Message,
                 std::string &) throw(jsonrpc::JsonRpcException) override {
    Text = Message;
  }

  std::string Text;
};

} // namespace

auto makeNotification(const Json::Value &Parameters) -> std::string {
  capturing_connector Connector;
  jsonrpc::Client Client(Connector);
  Client.CallNotification(DeliverMethod, Parameters);
  return Connector.Text;
}

} // namespace peer
} // namespace tarragon
