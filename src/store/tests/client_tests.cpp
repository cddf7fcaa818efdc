#include <boost/test/unit_test.hpp>

#include "store/platformclient.h"
#include "store/tests/scriptedserver.h"

#include <atomic>
#include <thread>

using namespace tarragon;
using namespace tarragon::store;
using namespace std::chrono_literals;

namespace {

template <class Value>
auto codeName(const result<Value> &Result) -> std::string_view {
  return Result ? "ok" : resultRow(Result.error().Code).Name;
}

/// Returns a loopback address on which no socket listens.
auto closedAddress() -> std::string { return scripted_server({}).address(); }

} // namespace

BOOST_AUTO_TEST_CASE(requests_follow_the_protocol) {
  scripted_server Server({
      httpReply(200, R"({"key":"config/head","version":3,"value":"x\ny"})"),
      httpReply(200, R"({"version":4})"),
      httpReply(200, "{}"),
      httpReply(200, R"({"revision":9,"objects":[{"key":"a","version":1,)"
                     R"("value":"v"}]})"),
      httpReply(200, R"({"revision":9,"changed":[{"key":"a","version":0}]})"),
  });
  platform_client Client(Server.address(), {}, 1);
  const auto Object = Client.get("config/head");
  BOOST_TEST_REQUIRE(Object.has_value());
  BOOST_TEST(Object.value().Version == 3U);
  BOOST_TEST(Object.value().Value == "x\ny");
  BOOST_TEST(Client.put("config/head", "new", 3).value() == 4U);
  BOOST_TEST(Client.remove("a-b", 5).has_value());
  BOOST_TEST(Client.list("snapshots/").value().at(0).Value == "v");
  const auto Watched = Client.watch("config/", 7, 10ms);
  BOOST_TEST(Watched.value().Revision == 9U);
  BOOST_TEST(Watched.value().Changed.at(0).Version == 0U);
  const auto Requests = Server.requests();
  const std::vector<std::string> RequestLines{
      "GET /v1/objects/config/head ",
      "PUT /v1/objects/config/head?if_version=3 ",
      "DELETE /v1/objects/a-b?if_version=5 ", "GET /v1/list?prefix=snapshots/ ",
      "GET /v1/watch?prefix=config/&after=7&wait_ms=10 "};
  BOOST_TEST_REQUIRE(Requests.size() == RequestLines.size());
  for (std::size_t Index = 0; Index < RequestLines.size(); ++Index)
    BOOST_TEST(Requests[Index].starts_with(RequestLines[Index]));
  BOOST_TEST(Requests[1].ends_with("\r\n\r\nnew"));
}

BOOST_AUTO_TEST_CASE(roster_is_parsed_with_states) {
  scripted_server Server({httpReply(
      200, R"({"instances":[{"id":"e1","caller_address":"127.0.0.1:1",)"
           R"("peer_address":"127.0.0.1:2","failure_domain":"d1",)"
           R"("state":"live"},{"id":"e2","state":"leaving"}],)"
           R"("targets":[{"id":"t1","state":"leaving"}]})")});
  platform_client Client(Server.address(), {}, 1);
  const auto Roster = Client.instanceRoster();
  BOOST_TEST_REQUIRE(Roster.has_value());
  BOOST_TEST_REQUIRE(Roster.value().Instances.size() == 2U);
  const instance Expected{"e1", "127.0.0.1:1",       "127.0.0.1:2", "d1",
                          0,    instance_state::Live};
  BOOST_TEST((Roster.value().Instances[0] == Expected));
  BOOST_TEST((Roster.value().Instances[1].State == instance_state::Leaving));
  BOOST_TEST(Roster.value().Targets.at(0).Leaving);
}

BOOST_AUTO_TEST_CASE(http_statuses_map_to_result_codes) {
  scripted_server Server({httpReply(404, "{}"), httpReply(409, "{}"),
                          httpReply(413, "{}"), httpReply(429, "{}"),
                          httpReply(500, "{}"), httpReply(503, "{}"),
                          httpReply(200, "nonsense")});
  client_settings Settings;
  Settings.FailureThreshold = 100;
  platform_client Client(Server.address(), Settings, 1);
  BOOST_TEST(codeName(Client.get("a")) == "object_missing");
  BOOST_TEST(codeName(Client.put("a", "", 1)) == "object_conflict");
  BOOST_TEST(codeName(Client.put("a", "", 1)) == "body_too_large");
  BOOST_TEST(codeName(Client.put("a", "", 1)) == "platform_unavailable");
  BOOST_TEST(codeName(Client.put("a", "", 1)) == "reply_lost");
  BOOST_TEST(codeName(Client.get("a")) == "platform_unavailable");
  BOOST_TEST(codeName(Client.put("a", "", 1)) == "reply_lost");
}

BOOST_AUTO_TEST_CASE(only_a_sent_write_may_have_taken_effect) {
  scripted_server Server({"", "", httpReply(200, "{}").substr(0, 30)});
  platform_client Client(Server.address(), {}, 1);
  BOOST_TEST(codeName(Client.put("a", "v", 0)) == "reply_lost");
  BOOST_TEST(codeName(Client.get("a")) == "platform_unavailable");
  BOOST_TEST(codeName(Client.put("a", "v", 0)) == "reply_lost");
  platform_client Refused(closedAddress(), {}, 1);
  BOOST_TEST(codeName(Refused.put("a", "v", 0)) == "platform_unavailable");
  BOOST_TEST(codeName(Refused.remove("a", 1)) == "platform_unavailable");
}

BOOST_AUTO_TEST_CASE(a_write_that_times_out_ends_as_reply_lost) {
  const scripted_server Silent({});
  client_settings Settings;
  Settings.CallTimeout = 30ms;
  platform_client Client(Silent.address(), Settings, 1);
  BOOST_TEST(codeName(Client.put("a", "v", 0)) == "reply_lost");
}

BOOST_AUTO_TEST_CASE(open_circuit_sends_nothing) {
  client_settings Settings;
  Settings.FailureThreshold = 2;
  Settings.OpenTime = 10min;
  platform_client Client(closedAddress(), Settings, 1);
  for (int Call = 0; Call < 5; ++Call)
    BOOST_TEST(codeName(Client.get("a")) == "platform_unavailable");
  const call_count Count = Client.callCounts().of(call_kind::Get);
  BOOST_TEST(Count.Sent == 2U);
  BOOST_TEST(Count.Failed == 2U);
  BOOST_TEST(Count.Suppressed == 3U);
}

BOOST_AUTO_TEST_CASE(writes_have_a_separate_budget) {
  client_settings Settings;
  Settings.WritesPerSecond = 0.001;
  Settings.FailureThreshold = 100;
  platform_client Client(closedAddress(), Settings, 1);
  static_cast<void>(Client.put("a", "", 0));
  static_cast<void>(Client.remove("a", 0));
  static_cast<void>(Client.get("a"));
  BOOST_TEST(Client.callCounts().of(call_kind::Put).Sent == 1U);
  BOOST_TEST(Client.callCounts().of(call_kind::Remove).Suppressed == 1U);
  BOOST_TEST(Client.callCounts().of(call_kind::Get).Sent == 1U);
}

BOOST_AUTO_TEST_CASE(calls_run_concurrently) {
  scripted_server Server(std::vector<std::string>(
      20, httpReply(200, R"({"key":"a","version":1,"value":"v"})")));
  platform_client Client(Server.address(), {}, 1);
  std::atomic<int> Succeeded = 0;
  std::vector<std::thread> Threads;
  for (int Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&] {
      for (int Call = 0; Call < 5; ++Call)
        Succeeded += Client.get("a").has_value() ? 1 : 0;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  BOOST_TEST(Succeeded == 20);
}

BOOST_AUTO_TEST_CASE(watches_end_when_interrupted) {
  const scripted_server Silent({});
  platform_client Client(Silent.address(), {}, 1);
  std::string_view Code;
  std::thread Watcher([&] { Code = codeName(Client.watch("a", 0, 1h)); });
  Client.interruptWatches();
  Watcher.join();
  BOOST_TEST(Code == "platform_unavailable");
}
