#pragma once

#include "ctl/entryclient.h"
#include "ctl/internal/replyexit.h"
#include "ctl/internal/replytext.h"
#include "ctl/types/ctloptions.h"
#include "global/json.h"

#include <json/json.h>

#include <string>

namespace tarragon::ctl {

/// Runs one query. With a ticket it may be sent again whatever happened to the
/// first sending; without one, entries refuse contracts that may not be
/// repeated, so sending again is safe too.
template <entry_channel Channel> class query_command {
public:
  query_command(entry_client<Channel> &Client, const ctl_options &Options)
      : Client(Client), Options(Options) {}

  auto run() -> entry_reply {
    std::string Ticket;
    if (Options.Once) {
      const auto Reply = Client.ask("POST", "/v1/tickets?count=1");
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
    for (std::size_t Try = 0; Try < Client.entryCount() && Client.timeLeft();
         ++Try) {
      Reply = Client.send("POST", "/v1/query", Body);
      const bool Lost = Reply.State == reply_state::NoReply;
      MayHaveRun = MayHaveRun || Lost;
      if (!Lost && !otherEntryMayServe(Reply))
        return Reply;
      Client.moveOn();
    }
    // A refusal of the last entry says nothing of the sending that was lost.
    if (MayHaveRun)
      return {reply_state::NoReply, Reply.Entry, {}, {}, "the answer was lost"};
    return Reply;
  }

  entry_client<Channel> &Client;
  const ctl_options &Options;
};

} // namespace tarragon::ctl
