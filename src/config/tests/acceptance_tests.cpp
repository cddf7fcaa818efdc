#include <boost/test/unit_test.hpp>

#include "config/configacceptance.h"
#include "config/tests/filetext.h"
#include "store/fakestore.h"

#include <deque>

using namespace tarragon;
using namespace tarragon::config;
using store::fake_store;
using store::store_fault;

namespace {

using acceptance = config_acceptance<fake_store>;

auto makeAcceptance(const std::size_t MaxObjectBytes = 900'000) -> acceptance {
  acceptance_settings Settings;
  Settings.MaxObjectBytes = MaxObjectBytes;
  return acceptance(Settings, [](milliseconds) {});
}

/// Returns a valid file with the given deadline.
auto fileWithDeadline(const int Milliseconds) -> std::string {
  return replaced(smallFile(), "200ms", std::to_string(Milliseconds) + "ms");
}

auto request(const int Deadline, const std::string &ChangeId,
             const config_version Base) -> apply_request {
  return {fileWithDeadline(Deadline), ChangeId, "op-" + ChangeId, {}, Base};
}

/// Injects \p Faults into the writes of the head, in order.
auto headFaults(std::deque<store_fault> Faults) -> fake_store::fault_script {
  return [Faults](const store::call_kind Kind, const std::string &Key) mutable {
    if (Kind != store::call_kind::Put || Key != HeadKey || Faults.empty())
      return store_fault::None;
    const store_fault Next = Faults.front();
    Faults.pop_front();
    return Next;
  };
}

auto down(store::call_kind, const std::string &) -> store_fault {
  return store_fault::Unavailable;
}

auto expect(const apply_outcome &Outcome, const apply_state State,
            const result_code Code) -> void {
  BOOST_TEST_INFO(Outcome.Detail);
  BOOST_TEST(static_cast<int>(Outcome.State) == static_cast<int>(State));
  BOOST_TEST(resultRow(Outcome.Code).Name == resultRow(Code).Name);
}

} // namespace

BOOST_AUTO_TEST_CASE(first_change_is_accepted_and_loaded) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  const auto Outcome = Acceptance.apply(Store, request(150, "c1", 0), {});
  expect(Outcome, apply_state::Accepted, result_code::Ok);
  BOOST_TEST(Outcome.Version == 1U);
  const auto Loaded = Acceptance.load(Store);
  BOOST_TEST_REQUIRE(Loaded.has_value());
  BOOST_TEST(Loaded.value().Text == fileWithDeadline(150));
  BOOST_TEST(Loaded.value().Operator == "op-c1");
  BOOST_TEST_REQUIRE(Loaded.value().Deployment);
  BOOST_TEST(Loaded.value().Deployment->Contracts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(load_without_an_accepted_config_returns_object_missing) {
  fake_store Store;
  const auto Loaded = makeAcceptance().load(Store);
  BOOST_TEST_REQUIRE(!Loaded.has_value());
  BOOST_TEST((Loaded.error().Code == result_code::ObjectMissing));
}

BOOST_AUTO_TEST_CASE(conflict_returns_winner_and_differences) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  Acceptance.apply(Store, request(150, "c1", 0), {});
  const auto Outcome = Acceptance.apply(Store, request(160, "c2", 0), {});
  expect(Outcome, apply_state::NotAccepted, result_code::ConfigConflict);
  BOOST_TEST(Outcome.Winner == "op-c1");
  BOOST_TEST_REQUIRE(Outcome.Differences.size() == 1U);
  BOOST_TEST(Outcome.Differences[0] == "contract c: deadline 150ms -> 160ms");
}

BOOST_AUTO_TEST_CASE(same_change_id_is_idempotent_even_when_superseded) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  Acceptance.apply(Store, request(150, "c1", 0), {});
  Acceptance.apply(Store, request(160, "c2", 1), {});
  const auto Again = Acceptance.apply(Store, request(150, "c1", 0), {});
  expect(Again, apply_state::Accepted, result_code::Ok);
  BOOST_TEST(Again.Version == 1U);
  const auto Misused = Acceptance.apply(Store, request(170, "c1", 2), {});
  expect(Misused, apply_state::NotAccepted, result_code::ConfigConflict);
}

BOOST_AUTO_TEST_CASE(identical_file_is_reported_as_unchanged) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  Acceptance.apply(Store, request(150, "c1", 0), {});
  const auto Outcome = Acceptance.apply(Store, request(150, "c2", 1), {});
  expect(Outcome, apply_state::NotAccepted, result_code::ConfigUnchanged);
  BOOST_TEST(Outcome.Version == 1U);
}

BOOST_AUTO_TEST_CASE(invalid_request_is_refused_without_platform_calls) {
  fake_store Store(down);
  apply_request Request = request(150, "c1", 0);
  Request.Text += "odd: 1\n";
  expect(makeAcceptance().apply(Store, Request, {}), apply_state::NotAccepted,
         result_code::ConfigUnknownKey);
  for (const std::string &ChangeId : {std::string(), std::string(201, 'c')})
    expect(makeAcceptance().apply(Store, request(150, ChangeId, 0), {}),
           apply_state::NotAccepted, result_code::MalformedRequest);
}

BOOST_AUTO_TEST_CASE(other_teams_objects_are_protected) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  Acceptance.apply(Store, request(150, "c1", 0), {});
  apply_request Request = request(160, "c2", 1);
  Request.Team = "others";
  const auto Refused = Acceptance.apply(Store, Request, {});
  expect(Refused, apply_state::NotAccepted, result_code::ForbiddenTeam);
  Request.Team = "t";
  expect(Acceptance.apply(Store, Request, {}), apply_state::Accepted,
         result_code::Ok);
}

BOOST_AUTO_TEST_CASE(lost_replies_are_resolved_by_reading_back) {
  const std::vector<std::deque<store_fault>> Scripts{
      {store_fault::LostReply},
      {store_fault::LostWrite, store_fault::LostWrite},
      {store_fault::DoubleSend},
      {store_fault::Unavailable, store_fault::LostReply},
      {store_fault::LateWrite, store_fault::LateWrite}};
  for (const auto &Script : Scripts) {
    fake_store Store(headFaults(Script));
    const auto Outcome = makeAcceptance().apply(Store, request(9, "c", 0), {});
    expect(Outcome, apply_state::Accepted, result_code::Ok);
    BOOST_TEST(Outcome.Version == 1U);
    while (Store.landOne())
      continue;
    BOOST_TEST(makeAcceptance().load(Store).value().Version == 1U);
  }
}

BOOST_AUTO_TEST_CASE(outage_after_the_write_leaves_the_outcome_unknown) {
  bool Sent = false;
  fake_store Store(
      [&Sent](const store::call_kind Kind, const std::string &Key) {
        if (Sent)
          return store_fault::Unavailable;
        Sent = Kind == store::call_kind::Put && Key == HeadKey;
        return Sent ? store_fault::LateWrite : store_fault::None;
      });
  const auto Outcome = makeAcceptance().apply(Store, request(9, "c", 0), {});
  expect(Outcome, apply_state::Unknown, result_code::ConfigOutcomeUnknown);
  Store.setScript({});
  Store.landOne();
  expect(makeAcceptance().apply(Store, request(9, "c", 0), {}),
         apply_state::Accepted, result_code::Ok);
}

BOOST_AUTO_TEST_CASE(outage_before_the_write_returns_not_accepted) {
  fake_store Store(down);
  expect(makeAcceptance().apply(Store, request(9, "c", 0), {}),
         apply_state::NotAccepted, result_code::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(failed_content_write_returns_not_accepted) {
  fake_store Store([](const store::call_kind Kind, const std::string &) {
    return store::isWrite(Kind) ? store_fault::LostWrite : store_fault::None;
  });
  expect(makeAcceptance().apply(Store, request(9, "c", 0), {}),
         apply_state::NotAccepted, result_code::PlatformUnavailable);
}

// A store that lost its head must not revert the configuration in force.
BOOST_AUTO_TEST_CASE(change_on_a_lost_head_is_refused) {
  fake_store Store;
  accepted_config InForce;
  InForce.Version = 5;
  expect(makeAcceptance().apply(Store, request(9, "c", 0), InForce),
         apply_state::NotAccepted, result_code::ConfigConflict);
}

BOOST_AUTO_TEST_CASE(long_content_is_stored_in_chunks) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance(50);
  apply_request Request = request(9, "c", 0);
  Request.Text += "# \u017e\u017e\u017e\u017e\u017e\u017e\u017e\u017e\u017e\n";
  Acceptance.apply(Store, Request, {});
  const auto Objects = Store.list(ContentPrefix).value();
  BOOST_TEST(Objects.size() > 3U);
  for (const auto &Object : Objects)
    BOOST_TEST(Object.Value.size() <= 50U);
  BOOST_TEST(Acceptance.load(Store).value().Text == Request.Text);
}

BOOST_AUTO_TEST_CASE(damaged_content_is_not_loaded) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  Acceptance.apply(Store, request(9, "c", 0), {});
  const auto Object = Store.list(ContentPrefix).value().at(0);
  BOOST_TEST(Store.put(Object.Key, "{}", Object.Version).has_value());
  BOOST_TEST((Acceptance.load(Store).error().Code == result_code::Internal));
}

BOOST_AUTO_TEST_CASE(collect_keeps_recent_and_pending_contents) {
  fake_store Store;
  acceptance Acceptance = makeAcceptance();
  for (int Version = 0; Version < 5; ++Version)
    Acceptance.apply(Store,
                     request(100 + Version, "c" + std::to_string(Version),
                             static_cast<config_version>(Version)),
                     {});
  // The contents of a change that lost at version 5 and of a pending one.
  BOOST_TEST(Store.put(contentKey(5, "lost", 0), "x", 0).has_value());
  BOOST_TEST(Store.put(contentKey(6, "open", 0), "x", 0).has_value());
  BOOST_TEST(Acceptance.removeObsoleteContents(Store, 2).value() == 4U);
  BOOST_TEST(Store.get(contentKey(6, "open", 0)).has_value());
  BOOST_TEST(Store.list(ContentPrefix).value().size() == 3U);
  BOOST_TEST(Acceptance.load(Store).value().Version == 5U);
}
