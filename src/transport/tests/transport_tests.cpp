#define BOOST_TEST_MODULE transport
#include <boost/test/unit_test.hpp>

#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/workerpool.h"

#include <future>
#include <optional>

using namespace std::chrono_literals;
namespace transport = tarragon::transport;

namespace {

constexpr char ServerAddress[] = "127.0.0.1:7190";
constexpr char ClosedAddress[] = "127.0.0.1:7191";

/// Replies with method, parameter "x" and body of the request; sends no
/// response to /silent.
auto echo(transport::http_request Request, transport::http_responder Responder)
    -> void {
  if (Request.Path == "/silent")
    return;
  Responder.send(200, Request.Method + Request.parameter("x") + Request.Body);
}

/// A server and a client in one process.
struct client_and_server {
  transport::http_server Server{{ServerAddress, 2, 1024}};
  transport::http_client Client{{}};

  client_and_server() { BOOST_REQUIRE(Server.start(echo)); }

  auto call(transport::http_call Call) -> transport::http_reply {
    std::promise<transport::http_reply> Reply;
    Client.start(std::move(Call),
                 [&Reply](transport::http_reply R) { Reply.set_value(R); });
    return Reply.get_future().get();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_call_returns_the_complete_reply, client_and_server) {
  const auto Reply =
      call({.To = ServerAddress, .Path = "/a?x=1", .Body = "text"});
  BOOST_TEST((Reply.End == transport::call_end::Replied));
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Reply.Body == "POST1text");
}

BOOST_FIXTURE_TEST_CASE(a_body_that_is_never_resent_arrives_complete,
                        client_and_server) {
  const std::string Body(800, 'b');
  const auto Reply = call(
      {.To = ServerAddress, .Path = "/a", .Body = Body, .NeverResend = true});
  BOOST_TEST(Reply.Body == "POST" + Body);
}

BOOST_FIXTURE_TEST_CASE(a_reply_without_the_echo_is_mismatched,
                        client_and_server) {
  const auto Reply = call({.To = ServerAddress,
                           .Path = "/a",
                           .Body = "text",
                           .ExpectedEcho = "e1.1.1"});
  BOOST_TEST((Reply.End == transport::call_end::Mismatched));
}

BOOST_FIXTURE_TEST_CASE(a_connection_is_reused_by_the_next_call,
                        client_and_server) {
  for (int Count = 0; Count < 5; ++Count)
    call({.To = ServerAddress, .Path = "/a", .Body = "text"});
  BOOST_TEST(Client.connectionsOpened() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_fresh_connection_is_neither_reused_nor_kept,
                        client_and_server) {
  call({.To = ServerAddress, .Path = "/a", .Body = "text"});
  call({.To = ServerAddress, .Path = "/a", .FreshConnection = true});
  call({.To = ServerAddress, .Path = "/a", .Body = "text"});
  BOOST_TEST(Client.connectionsOpened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_closed_port_is_proven_not_sent, client_and_server) {
  const auto Reply = call({.To = ClosedAddress, .Path = "/a"});
  BOOST_TEST((Reply.End == transport::call_end::NotSent));
}

BOOST_FIXTURE_TEST_CASE(a_dropped_responder_sends_an_error, client_and_server) {
  const auto Reply = call({.To = ServerAddress, .Path = "/silent"});
  BOOST_TEST(Reply.Status == 500);
}

BOOST_FIXTURE_TEST_CASE(an_oversized_body_is_refused, client_and_server) {
  const auto Reply =
      call({.To = ServerAddress, .Path = "/a", .Body = std::string(4096, 'b')});
  BOOST_TEST(Reply.Status == 413);
}

BOOST_FIXTURE_TEST_CASE(a_port_in_use_is_reported, client_and_server) {
  transport::http_server Second{{ServerAddress, 1, 1024}};
  const auto Started = Second.start(echo);
  BOOST_REQUIRE(!Started);
  BOOST_TEST((Started.error().Code == tarragon::result_code::AddressInUse));
}

BOOST_AUTO_TEST_CASE(malformed_addresses_are_rejected) {
  BOOST_TEST(!transport::splitAddress("nonsense"));
  BOOST_TEST(!transport::splitAddress("127.0.0.1:x"));
  BOOST_TEST(!transport::splitAddress("127.0.0.1:99999"));
  BOOST_TEST(transport::splitAddress("127.0.0.1:80").value().Port == 80);
}

BOOST_AUTO_TEST_CASE(the_pool_runs_immediate_and_timed_jobs) {
  transport::worker_pool Pool(2);
  std::promise<int> Order;
  std::atomic<int> Count{0};
  const auto Now = std::chrono::steady_clock::now();
  Pool.postAt(Now + 20ms, [&] { Order.set_value(++Count); });
  Pool.post([&] { ++Count; });
  BOOST_TEST(Order.get_future().get() == 2);
}

// Guards against a thread that waits on the time of a job which another thread
// has erased from the queue.
BOOST_AUTO_TEST_CASE(threads_may_wait_for_a_job_that_another_takes) {
  transport::worker_pool Pool(4);
  std::promise<void> All;
  std::atomic<int> Left{200};
  for (int Count = 0; Count < 200; ++Count)
    Pool.postAt(std::chrono::steady_clock::now() + 1ms * (Count / 4), [&] {
      if (--Left == 0)
        All.set_value();
    });
  All.get_future().wait();
  BOOST_TEST(Left == 0);
}
