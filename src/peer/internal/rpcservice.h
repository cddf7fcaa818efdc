#pragma once

#include "peer/internal/rpcenvelope.h"

#include <json/json.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <functional>
#include <string>

namespace tarragon::peer {

/// Passes request bodies from the HTTP server of transport to the RPC library.
class http_connector : public jsonrpc::AbstractServerConnector {
public:
  auto StartListening() -> bool override { return true; }
  auto StopListening() -> bool override { return true; }
  auto SendResponse(const std::string &Response, void *AddInfo)
      -> bool override {
    *static_cast<std::string *>(AddInfo) = Response;
    return true;
  }
};

/// The RPC server with its only notification. Calls Receiver on several
/// threads.
class rpc_service : public jsonrpc::AbstractServer<rpc_service> {
public:
  using receiver = std::function<void(const Json::Value &)>;

  rpc_service(http_connector &Connector, receiver Receiver)
      : AbstractServer(Connector), Receiver(std::move(Receiver)) {
    bindAndAddNotification(jsonrpc::Procedure(DeliverMethod,
                                              jsonrpc::PARAMS_BY_NAME, "from",
                                              jsonrpc::JSON_ARRAY, "batch",
                                              jsonrpc::JSON_STRING, nullptr),
                           &rpc_service::onDeliver);
  }

private:
  auto onDeliver(const Json::Value &Parameters) -> void {
    Receiver(Parameters);
  }

  receiver Receiver;
};

} // namespace tarragon::peer
