#include "gateway/httpserver.h"

#include "gateway/callersession.h"

#include <algorithm>
#include <vector>

namespace tarragon::gateway {

namespace {

namespace asio = boost::asio;

constexpr milliseconds SweepPeriod{500};
constexpr milliseconds AcceptRetryDelay{20};

} // namespace

http_server::http_server(asio::io_context &NewLoop, request_handler NewHandler)
    : Loop(NewLoop), Acceptor(NewLoop), SweepTimer(NewLoop),
      Handler(std::move(NewHandler)) {}

http_server::~http_server() = default;

auto http_server::listen(const endpoint &Address) -> bool {
  boost::system::error_code Error;
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return false;
  accept();
  sweep();
  return true;
}

auto http_server::accept() -> void {
  Acceptor.async_accept([this](const boost::system::error_code &Error,
                               asio::ip::tcp::socket Socket) {
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (Error) {
      // Most likely out of file descriptors: retry after a delay.
      auto Pause = std::make_shared<asio::steady_timer>(Loop, AcceptRetryDelay);
      Pause->async_wait(
          [this, Pause](const boost::system::error_code &) { accept(); });
      return;
    }
    auto Session = std::make_shared<caller_session>(std::move(Socket), *this);
    if (ClosesAfterAnswer)
      Session->closeAfterAnswer();
    Sessions.insert(Session);
    Session->open();
    accept();
  });
}

auto http_server::sweep() -> void {
  const auto Now = std::chrono::steady_clock::now();
  const std::vector<session_pointer> All(Sessions.begin(), Sessions.end());
  for (const session_pointer &Session : All) {
    Session->closeIfTimedOut(Now);
    if (!Session->isOpen())
      Sessions.erase(Session);
  }
  SweepTimer.expires_after(SweepPeriod);
  SweepTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      sweep();
  });
}

auto http_server::setLimits(const route::caller_limits &NewLimits) -> void {
  const auto Before = LimitsKnown ? Limits.IdleTimeout : milliseconds(0);
  Limits = NewLimits;
  Limits.IdleTimeout = std::max(Before, NewLimits.IdleTimeout);
  LimitsKnown = true;
}

auto http_server::closeAfterAnswers() -> void {
  ClosesAfterAnswer = true;
  for (const session_pointer &Session : Sessions)
    Session->closeAfterAnswer();
}

auto http_server::stopAccepting() -> void {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

auto http_server::refuseUnfinished() -> void {
  for (const session_pointer &Session : Sessions)
    Session->refuseUnfinished();
}

auto http_server::isBusy() const -> bool {
  return std::any_of(
      Sessions.begin(), Sessions.end(),
      [](const session_pointer &Session) { return Session->isBusy(); });
}

auto http_server::handle(const session_pointer &Session, caller_request Request)
    -> void {
  Handler(Session, std::move(Request));
}

} // namespace tarragon::gateway
