#include "gateway/httpconnection.h"
#include "gateway/tests/scriptedpeer.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace tarragon::gateway;

namespace {

/// A connection to a server with one scripted reaction per request.
struct exchange_case {
  explicit exchange_case(std::vector<scripted_server::reaction> Reactions)
      : Server(Loop, [this, Reactions](const std::string &) {
          return Reactions[std::min(Next++, Reactions.size() - 1)];
        }) {}

  auto open() -> void {
    Connection =
        std::make_shared<http_connection>(Loop, Server.endpoint(), 1000ms);
    Connection->open();
  }

  auto run(const std::string &Id) -> void {
    Done = false;
    Connection->start(
        {"GET / HTTP/1.1\r\nHost: t\r\n\r\n", "X-Id", Id, false},
        [this](const exchange_end NewEnd, exchange_answer NewAnswer) {
          End = NewEnd;
          Answer = std::move(NewAnswer);
          Done = true;
        });
    BOOST_REQUIRE(runUntil(Loop, [this] { return Done; }));
  }

  auto isReusable() const -> bool {
    return Connection->isReusable(std::chrono::steady_clock::now());
  }

  boost::asio::io_context Loop;
  std::size_t Next = 0;
  scripted_server Server;
  std::shared_ptr<http_connection> Connection;
  bool Done = false;
  exchange_end End = exchange_end::Broken;
  exchange_answer Answer;
};

auto answer(const std::string &Id, const std::string &Body) -> std::string {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(httpconnection)

BOOST_AUTO_TEST_CASE(a_complete_answer_leaves_the_connection_reusable) {
  exchange_case Case({{answer("a", "hello")}, {answer("b", "again")}});
  Case.open();
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::Complete));
  BOOST_TEST(Case.Answer.Body == "hello");
  BOOST_TEST(Case.isReusable());
  Case.run("b");
  BOOST_TEST(Case.Answer.Body == "again");
  BOOST_TEST(Case.Server.accepted() == 1);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped) {
  exchange_case Case({{answer("old", "stale") + answer("a", "mine")}});
  Case.open();
  Case.run("a");
  BOOST_TEST(Case.Answer.Body == "mine");
  BOOST_TEST(!Case.isReusable());
}

BOOST_AUTO_TEST_CASE(bytes_after_an_answer_close_the_connection) {
  exchange_case Case({{answer("a", "hello") + "more"}});
  Case.open();
  Case.run("a");
  BOOST_TEST(Case.Answer.Body == "hello");
  BOOST_TEST(!Case.isReusable());
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_ends_with_its_connection) {
  exchange_case Case({{"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it", true}});
  Case.open();
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::Complete));
  BOOST_TEST(Case.Answer.Body == "all of it");
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_broken_by_a_reset) {
  exchange_case Case(
      {{"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nsome of it", false, true}});
  Case.open();
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::Broken));
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_broken) {
  const std::string FullAnswer = answer("a", "hello");
  exchange_case Case({{FullAnswer.substr(0, FullAnswer.size() - 1), true}});
  Case.open();
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::Broken));
}

// A target stops in the middle of the head of its answer and closes. What was
// received must not pass for an answer with an empty or short body.
BOOST_AUTO_TEST_CASE(an_answer_cut_in_its_head_is_broken) {
  const std::string Heads[] = {
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nX: y\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX: y\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n"};
  for (const std::string &Head : Heads)
    for (std::size_t Length = 0; Length < Head.size(); ++Length) {
      exchange_case Case({{Head.substr(0, Length), true}});
      Case.open();
      Case.run("a");
      BOOST_TEST((Case.End != exchange_end::Complete),
                 "complete after " << Length << " bytes");
      BOOST_TEST(!Case.isReusable());
    }
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http_are_broken) {
  exchange_case Case({{"\x01\x02 what\r\n\r\n"}});
  Case.open();
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::Broken));
}

BOOST_AUTO_TEST_CASE(a_chunked_answer_is_decoded) {
  exchange_case Case({{"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"}});
  Case.open();
  Case.run("a");
  BOOST_TEST(Case.Answer.Body == "abcde");
  BOOST_TEST(Case.isReusable());
}

BOOST_AUTO_TEST_CASE(a_closed_port_means_nothing_was_sent) {
  exchange_case Case({{answer("a", "x")}});
  {
    boost::asio::ip::tcp::acceptor Closed(
        Case.Loop, {boost::asio::ip::address_v4::loopback(), 0});
    Case.Connection = std::make_shared<http_connection>(
        Case.Loop, Closed.local_endpoint(), 1000ms);
  }
  Case.Connection->open();
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::NotSent));
}

BOOST_AUTO_TEST_CASE(the_keep_alive_timeout_is_respected) {
  exchange_case Case({{"HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=5\r\n"
                       "Content-Length: 0\r\n\r\n"}});
  Case.open();
  Case.run("a");
  const auto Now = std::chrono::steady_clock::now();
  BOOST_TEST(Case.Connection->isReusable(Now + 4s));
  BOOST_TEST(!Case.Connection->isReusable(Now + 5s));
}

// A connection that was opened to find out whether a target crashed may be used
// by a request before it is established.
BOOST_AUTO_TEST_CASE(a_failed_connect_is_reported_also_with_an_exchange) {
  exchange_case Case({{answer("a", "")}});
  const auto Endpoint = Case.Server.endpoint();
  Case.Server.stopListening();
  Case.Connection =
      std::make_shared<http_connection>(Case.Loop, Endpoint, 1000ms);
  Case.Connection->open();
  bool Closed = false;
  Case.Connection->setClosedHandler([&Closed] { Closed = true; });
  Case.run("a");
  BOOST_TEST((Case.End == exchange_end::NotSent));
  BOOST_TEST(Closed);
}

BOOST_AUTO_TEST_SUITE_END()
