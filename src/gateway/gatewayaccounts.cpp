// Authentication of callers by the keys of their client accounts.
#include "account/accounttable.h"
#include "gateway/accountcounts.h"
#include "gateway/callersession.h"
#include "gateway/gateway.h"
#include "gateway/internal/accountheaders.h"
#include "global/log.h"

namespace tarragon::gateway {

namespace {

constexpr unsigned StatusUnauthorized = 401;
constexpr std::string_view UnknownKey = "unknown key";

auto logProblem(const account::table_problem &Problem) -> void {
  switch (Problem.Kind) {
  case account::table_problem::kind::NoKey:
    return log::write(log::level::Warning, log::part::Config,
                      "account without a key", {{"account", Problem.Account}});
  case account::table_problem::kind::DuplicateKey:
    return log::write(
        log::level::Warning, log::part::Config, "key of an earlier account",
        {{"account", Problem.Account}, {"holder", Problem.Holder}});
  }
}

} // namespace

auto gateway::accounts() const -> const std::vector<route::account> * {
  return Table && Table->set().Accounts ? &*Table->set().Accounts : nullptr;
}

auto gateway::setAccounts(const std::shared_ptr<const route::route_set> &Routes)
    -> void {
  Accounts = std::make_unique<const account::account_table>(Routes, Random());
  AccountCounts->setAccounts(
      Routes->Accounts.value_or(std::vector<route::account>{}));
  for (const account::table_problem &Problem : Accounts->problems())
    logProblem(Problem);
  if (Accounts->problemCount() > Accounts->problems().size())
    log::write(log::level::Warning, log::part::Config,
               "more problems of accounts",
               {{"count", std::to_string(Accounts->problemCount() -
                                         Accounts->problems().size())}});
}

auto gateway::authenticate(const session_pointer &Session,
                           const caller_request &Request,
                           const route::route &Route,
                           const route::account *&Account) -> bool {
  if (!Accounts->applies())
    return true;
  const internal::presented_key Presented =
      internal::findKey(Request.Headers, Settings.Names);
  if (Presented.Fault.empty())
    Account = Accounts->find(Presented.Key);
  if (Account || Route.Public)
    return true;
  refuseKey(Session, Request, Route,
            Presented.Fault.empty() ? "unknown" : Presented.Fault);
  return false;
}

auto gateway::refuseKey(const session_pointer &Session,
                        const caller_request &Request,
                        const route::route &Route, const std::string_view Cause)
    -> void {
  Metrics.counter("tarragon_refused_total", {{"why", std::string(UnknownKey)}})
      .add();
  if (RefusedKeyLines.tryAcquire(std::chrono::steady_clock::now()))
    log::write(
        log::level::Info, log::part::Admission, "key refused",
        {{"request", fieldOrEmpty(Request.Headers, Settings.Names.RequestId)},
         {"route", Route.Name},
         {"version", std::to_string(version())},
         {"cause", std::string(Cause)},
         {"caller", Session->peer()},
         {"unlogged", std::to_string(RefusedKeyLines.takeRejected())}});
  caller_answer Answer;
  Answer.Status = StatusUnauthorized;
  Answer.Body = std::string(UnknownKey) + "\n";
  Answer.BodyOmitted = Request.Method == "HEAD";
  Session->answer(std::move(Answer));
}

} // namespace tarragon::gateway
