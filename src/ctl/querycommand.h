#pragma once

#include "ctl/entryclient.h"
#include "ctl/internal/replyexit.h"
#include "ctl/internal/replytext.h"
#include "ctl/types/ctloptions.h"
#include "global/json.h"

#include <json/json.h>

#include <string>

namespace tarragon::ctl {

/// The command that runs one query, with retries. With a ticket a retry is safe
/// whatever the outcome of the first attempt. Without one it is safe too,
/// because entries refuse queries of non-repeatable contracts that have no
/// ticket.
template <entry_channel Channel> class query_command {
public:
  query_command(entry_client<Channel> &Client, const ctl_options &Options)
      : Client(Client), Options(Options) {}

  auto run() -> entry_reply {
    std::string Ticket;
    if (Options.Once) {
      const auto Reply = Client.sendRepeatable("POST", "/v1/tickets?count=1");
      if (exitAfterRead(Reply) != exit_code::Ok)
        return Reply;
      Ticket = firstTicket(Reply.Body);
    }
    return sendUntilAnswered(queryBody(Ticket));
  }

private:
  static auto firstTicket(const Json::Value &Body) -> std::string {
    const Json::Value &Tickets = listOf(Body, "tickets");
    return Tickets.empty() ? "" : Tickets[0].asString();
  }

  auto queryBody(const std::string &Ticket) const -> std::string {
    Json::Value Body;
    Body["contract"] = Options.Contract;
    Body["body"] = Options.Body;
    if (!Options.Key.empty())
      Body["key"] = Options.Key;
    if (!Ticket.empty())
      Body["ticket"] = Ticket;
    if (!Options.Continuation.empty())
      Body["continuation"] = Options.Continuation;
    return writeJson(Body);
  }

  auto sendUntilAnswered(const std::string &Body) -> entry_reply {
    entry_reply Reply;
    bool MayHaveRun = false;
    for (std::size_t Attempt = 0;
         Attempt < Client.entryCount() && Client.hasTimeLeft(); ++Attempt) {
      Reply = Client.send("POST", "/v1/query", Body);
      const bool Lost = Reply.State == reply_state::NoReply;
      MayHaveRun = MayHaveRun || Lost;
      if (!Lost && !otherEntryMayServe(Reply))
        return Reply;
      Client.selectNextEntry();
    }
    // A refusal by the last entry does not prove that the attempt without a
    // reply was not run.
    if (MayHaveRun)
      return {reply_state::NoReply,
              Reply.Entry,
              {},
              {},
              "an earlier attempt got no reply"};
    return Reply;
  }

  entry_client<Channel> &Client;
  const ctl_options &Options;
};

} // namespace tarragon::ctl
