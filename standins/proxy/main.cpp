#include "global/json.h"
#include "standins/httpserver.h"
#include "standins/program.h"
#include "standins/proxy/proxyloop.h"

#include <cxxopts.hpp>
#include <json/json.h>

#include <iostream>
#include <thread>

namespace {

using namespace tarragon;
using standins::http_reply;
using standins::http_request;
using standins::loss_kind;
using standins::proxy_faults;
using standins::proxy_loop;

struct proxy_settings {
  address Listen;
  address To;
  address Control;
  std::uint64_t Seed = 1;
};

auto readSettings(const int Count, const char *const *Arguments)
    -> proxy_settings {
  cxxopts::Options Options("fault_proxy",
                           "Forwards TCP connections and injects faults");
  proxy_settings Settings;
  Options.add_options()("listen", "IP:port to listen on",
                        cxxopts::value(Settings.Listen))(
      "to", "IP:port to forward to", cxxopts::value(Settings.To))(
      "control", "IP:port of POST /control", cxxopts::value(Settings.Control))(
      "seed", "seed of the jitter", cxxopts::value(Settings.Seed));
  Options.parse(Count, Arguments);
  return Settings;
}

auto parseLoss(const std::string &Name) -> loss_kind {
  if (Name == "to")
    return loss_kind::ToServer;
  return Name == "from" ? loss_kind::FromServer : loss_kind::None;
}

auto merge(proxy_faults Faults, const Json::Value &Body) -> proxy_faults {
  if (Body.isMember("delay_ms"))
    Faults.Delay = milliseconds(Body["delay_ms"].asInt64());
  if (Body.isMember("jitter_ms"))
    Faults.Jitter = milliseconds(Body["jitter_ms"].asInt64());
  if (Body.isMember("drop_after_bytes"))
    Faults.DropAfterBytes = Body["drop_after_bytes"].asUInt64();
  if (Body.isMember("hold_replies"))
    Faults.HoldReplies = Body["hold_replies"].asBool();
  if (Body.isMember("refuse"))
    Faults.Refuse = Body["refuse"].asBool();
  if (Body.isMember("one_way_loss"))
    Faults.Loss = parseLoss(Body["one_way_loss"].asString());
  return Faults;
}

auto control(proxy_loop &Loop, const http_request &Request,
             const http_reply &Reply) -> void {
  if (Request.Method == "GET") {
    Reply.send(200, "{\"connections\":" +
                        std::to_string(Loop.connectionCount()) + "}");
    return;
  }
  const auto Body = parseJson(Request.Body);
  if (!Body) {
    Reply.send(400, "{}");
    return;
  }
  Loop.setFaults(merge(Loop.faults(), Body.value()));
  if (Body.value().get("cut", false).asBool())
    Loop.cutAll();
  Reply.send(200, "{}");
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  standins::blockStopSignals();
  proxy_settings Settings;
  try {
    Settings = readSettings(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "fault_proxy: " << Error.what() << '\n';
    return 2;
  }
  static proxy_loop Loop(Settings.Listen, Settings.To, Settings.Seed);
  static standins::http_server Control(Settings.Control, 1, 0);
  const auto Handler = [](const http_request &Request,
                          const http_reply &Reply) {
    control(Loop, Request, Reply);
  };
  if (!Loop.open() || !Control.start(Handler)) {
    std::cerr << "fault_proxy: cannot listen\n";
    return 1;
  }
  std::thread([] { Loop.run(); }).detach();
  standins::exitOnStopSignal();
}
