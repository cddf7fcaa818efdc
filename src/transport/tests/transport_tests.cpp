#define BOOST_TEST_MODULE transport
#include <boost/test/unit_test.hpp>

#include "transport/httpserver.h"
#include "transport/linkloop.h"
#include "transport/workerpool.h"

#include <future>
#include <optional>

using namespace std::chrono_literals;
namespace transport = tarragon::transport;

namespace {

constexpr char ServerAddress[] = "127.0.0.1:7190";
constexpr char ClosedAddress[] = "127.0.0.1:7191";

/// Answers with the body it got, as the "attempt" parameter says.
auto echo(transport::http_request Request, transport::http_responder Responder)
    -> void {
  if (Request.Path == "/silent")
    return;
  Responder.send(200, Request.Method + Request.parameter("x") + Request.Body);
}

struct served {
  transport::http_server Server{{ServerAddress, 2, 1024}};
  transport::link_loop Loop{{}};

  served() { BOOST_REQUIRE(Server.start(echo)); }

  auto call(transport::http_call Call) -> transport::http_reply {
    std::promise<transport::http_reply> Reply;
    Loop.start(std::move(Call),
               [&Reply](transport::http_reply R) { Reply.set_value(R); });
    return Reply.get_future().get();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_call_brings_the_whole_reply, served) {
  const auto Reply =
      call({.To = ServerAddress, .Path = "/a?x=1", .Body = "text"});
  BOOST_TEST((Reply.End == transport::call_end::Replied));
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Reply.Body == "POST1text");
}

BOOST_FIXTURE_TEST_CASE(a_body_that_is_never_resent_arrives_whole, served) {
  const std::string Body(800, 'b');
  const auto Reply = call(
      {.To = ServerAddress, .Path = "/a", .Body = Body, .NeverResend = true});
  BOOST_TEST(Reply.Body == "POST" + Body);
}

BOOST_FIXTURE_TEST_CASE(a_reply_without_the_echo_is_mismatched, served) {
  const auto Reply = call({.To = ServerAddress,
                           .Path = "/a",
                           .Body = "text",
                           .ExpectedEcho = "e1.1.1"});
  BOOST_TEST((Reply.End == transport::call_end::Mismatched));
}

BOOST_FIXTURE_TEST_CASE(a_connection_is_kept_for_the_next_call, served) {
  for (int Count = 0; Count < 5; ++Count)
    call({.To = ServerAddress, .Path = "/a", .Body = "text"});
  BOOST_TEST(Loop.connectionsOpened() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_fresh_connection_is_neither_taken_nor_left, served) {
  call({.To = ServerAddress, .Path = "/a", .Body = "text"});
  call({.To = ServerAddress, .Path = "/a", .FreshConnection = true});
  call({.To = ServerAddress, .Path = "/a", .Body = "text"});
  BOOST_TEST(Loop.connectionsOpened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_closed_port_is_proven_not_sent, served) {
  const auto Reply = call({.To = ClosedAddress, .Path = "/a"});
  BOOST_TEST((Reply.End == transport::call_end::NotSent));
}

BOOST_FIXTURE_TEST_CASE(an_unanswered_request_gets_an_error, served) {
  const auto Reply = call({.To = ServerAddress, .Path = "/silent"});
  BOOST_TEST(Reply.Status == 500);
}

BOOST_FIXTURE_TEST_CASE(an_oversized_body_is_refused, served) {
  const auto Reply =
      call({.To = ServerAddress, .Path = "/a", .Body = std::string(4096, 'b')});
  BOOST_TEST(Reply.Status == 413);
}

BOOST_FIXTURE_TEST_CASE(a_taken_port_is_a_numbered_error, served) {
  transport::http_server Second{{ServerAddress, 1, 1024}};
  const auto Started = Second.start(echo);
  BOOST_REQUIRE(!Started);
  BOOST_TEST((Started.error().Code == tarragon::result_code::AddressInUse));
}

BOOST_AUTO_TEST_CASE(bad_addresses_are_refused) {
  BOOST_TEST(!transport::splitAddress("nonsense"));
  BOOST_TEST(!transport::splitAddress("127.0.0.1:x"));
  BOOST_TEST(!transport::splitAddress("127.0.0.1:99999"));
  BOOST_TEST(transport::splitAddress("127.0.0.1:80").value().Port == 80);
}

BOOST_AUTO_TEST_CASE(the_pool_runs_jobs_at_once_and_later) {
  transport::worker_pool Pool(2);
  std::promise<int> Order;
  std::atomic<int> Count{0};
  const auto Now = std::chrono::steady_clock::now();
  Pool.postAt(Now + 20ms, [&] { Order.set_value(++Count); });
  Pool.post([&] { ++Count; });
  BOOST_TEST(Order.get_future().get() == 2);
}

BOOST_AUTO_TEST_CASE(threads_that_wait_for_a_job_outlive_its_taking) {
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
