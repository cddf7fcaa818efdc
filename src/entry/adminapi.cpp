#include "entry/adminapi.h"

#include "config/deploymentfile.h"
#include "entry/adminjson.h"
#include "entry/entry.h"
#include "entry/httpapi.h"
#include "global/json.h"

#include <json/json.h>
#include <openssl/crypto.h>

namespace tarragon::entry {

namespace {

constexpr std::string_view Scheme = "Bearer ";

/// Compares in constant time for tokens of equal length, so that the response
/// time does not reveal how long a matching prefix is.
auto equalTokens(const std::string_view Left, const std::string_view Right)
    -> bool {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

auto readApply(const Json::Value &Body, const team_id &Team)
    -> result<config::apply_request> {
  for (const char *const Name : {"text", "change_id", "operator"})
    if (!Body[Name].isString() || Body[Name].asString().empty())
      return fail(result_code::MalformedRequest,
                  std::string("'") + Name + "' must be a non-empty string");
  if (!Body["base"].isUInt64())
    return fail(result_code::MalformedRequest,
                "'base' must be a configuration version");
  return config::apply_request{
      Body["text"].asString(), Body["change_id"].asString(),
      Body["operator"].asString(), Team, Body["base"].asUInt64()};
}

} // namespace

auto admin_api::handle(transport::http_request Request,
                       transport::http_responder Responder) -> void {
  const auto Team = authenticate(Request);
  if (!Team)
    return refuse(Responder, Team.error());
  if (Request.Method == "GET")
    return handleGet(Request, Responder);
  if (Request.Method != "POST")
    return refuse(Responder, fail(result_code::NotFound,
                                  Request.Method + " " + Request.Path));
  handlePost(Request, Team.value(), std::move(Responder));
}

auto admin_api::authenticate(const transport::http_request &Request) const
    -> result<team_id> {
  const std::string_view Header = Request.Authorization;
  if (!Header.starts_with(Scheme))
    return fail(result_code::Unauthorized, "a bearer token is required");
  const std::string_view Token = Header.substr(Scheme.size());
  const team_id *Found = nullptr;
  for (const auto &[KnownToken, Team] : Entry.settings().Tokens)
    if (equalTokens(KnownToken, Token))
      Found = &Team;
  if (!Found)
    return fail(result_code::Unauthorized, "the bearer token is not known");
  return *Found;
}

auto admin_api::handleGet(const transport::http_request &Request,
                          transport::http_responder &Responder) -> void {
  if (Request.Path == "/admin/v1/status")
    return reply(Responder, result_code::Ok, statusJson(Entry.status()));
  if (Request.Path == "/admin/v1/burn")
    return reply(Responder, result_code::Ok, burnJson(Entry.burn()));
  if (Request.Path == "/admin/v1/config")
    return reply(Responder, result_code::Ok, configJson(Entry.inForce()));
  if (Request.Path == "/admin/v1/snapshots")
    return reply(Responder, result_code::Ok,
                 snapshotsJson(Entry.inForce(), Entry.snapshots()));
  refuse(Responder, fail(result_code::NotFound, "GET " + Request.Path));
}

auto admin_api::handlePost(const transport::http_request &Request,
                           const team_id &Team,
                           transport::http_responder Responder) -> void {
  if (Request.Path == "/admin/v1/drain") {
    Entry.drain();
    return reply(Responder, result_code::Ok, statusJson(Entry.status()));
  }
  const auto Body = parseJson(Request.Body);
  if (!Body)
    return refuse(Responder, Body.error());
  if (Request.Path == "/admin/v1/validate")
    return validate(Body.value(), Responder);
  if (Request.Path == "/admin/v1/plan")
    return plan(Body.value(), Responder);
  if (Request.Path == "/admin/v1/apply")
    return apply(Body.value(), Team, std::move(Responder));
  refuse(Responder, fail(result_code::NotFound, "POST " + Request.Path));
}

auto admin_api::validate(const Json::Value &Body,
                         transport::http_responder &Responder) -> void {
  if (!Body["text"].isString())
    return refuse(Responder, fail(result_code::MalformedRequest,
                                  "'text' must be a string"));
  const auto File = config::parseDeployment(Body["text"].asString());
  const auto Code =
      File.Faults.empty() ? result_code::Ok : File.Faults.front().Code;
  reply(Responder, Code, faultsJson(Code, File.Faults));
}

auto admin_api::plan(const Json::Value &Body,
                     transport::http_responder &Responder) -> void {
  if (!Body["text"].isString())
    return refuse(Responder, fail(result_code::MalformedRequest,
                                  "'text' must be a string"));
  const auto File = config::parseDeployment(Body["text"].asString());
  if (!File.Faults.empty())
    return reply(Responder, File.Faults.front().Code,
                 faultsJson(File.Faults.front().Code, File.Faults));
  const auto Current = Entry.inForce();
  const deployment Old =
      Current.Deployment ? *Current.Deployment : deployment{};
  reply(
      Responder, result_code::Ok,
      planJson(Current.Version, config::diffDeployments(Old, File.Deployment)));
}

auto admin_api::apply(const Json::Value &Body, const team_id &Team,
                      transport::http_responder Responder) -> void {
  auto Request = readApply(Body, Team);
  if (!Request)
    return refuse(Responder, Request.error());
  const auto SharedResponder =
      std::make_shared<transport::http_responder>(std::move(Responder));
  Entry.postControl(
      [this, SharedResponder, Request = std::move(Request.value())] {
        const auto Outcome = Entry.apply(Request);
        reply(*SharedResponder, Outcome.Code, applyJson(Outcome));
      });
}

} // namespace tarragon::entry
