#include "account/accounttable.h"
#include "account/constanttime.h"
#include "account/priority.h"

#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

/// Bytes that this program holds on the heap.
std::atomic<std::size_t> HeldBytes{0};

} // namespace

auto operator new(const std::size_t Size) -> void * {
  void *Memory = std::malloc(Size);
  if (!Memory)
    throw std::bad_alloc();
  HeldBytes += malloc_usable_size(Memory);
  return Memory;
}

auto operator delete(void *Memory) noexcept -> void {
  if (Memory)
    HeldBytes -= malloc_usable_size(Memory);
  std::free(Memory);
}

auto operator delete(void *Memory, std::size_t) noexcept -> void {
  operator delete(Memory);
}

using namespace tarragon;
using namespace tarragon::account;

namespace {

auto makeAccount(const std::string &Name, std::vector<std::string> Keys)
    -> route::account {
  route::account Account;
  Account.Name = Name;
  Account.Keys = std::move(Keys);
  return Account;
}

auto makeTable(std::vector<route::account> Accounts) -> account_table {
  auto Set = std::make_shared<route::route_set>();
  Set->Accounts = std::move(Accounts);
  return {Set, 5};
}

auto nameOf(const route::account *Account) -> std::string {
  return Account ? Account->Name : "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(accounttable)

// A key must lead to its own account only; a part of a key, or a longer one, to
// none.
BOOST_AUTO_TEST_CASE(a_key_finds_its_account) {
  const account_table Table = makeTable(
      {makeAccount("a", {"key-1", "key-2"}), makeAccount("b", {"key-3"})});
  BOOST_TEST(nameOf(Table.find("key-1")) == "a");
  BOOST_TEST(nameOf(Table.find("key-2")) == "a");
  BOOST_TEST(nameOf(Table.find("key-3")) == "b");
  for (const std::string Other : {"", "key-", "key-33", "KEY-1", "key-4", "a"})
    BOOST_TEST(nameOf(Table.find(Other)) == "none");
}

// An empty list of accounts must not be taken for a version without accounts:
// all keys are withdrawn.
BOOST_AUTO_TEST_CASE(an_empty_list_applies) {
  BOOST_TEST(makeTable({}).applies());
  BOOST_TEST(nameOf(makeTable({}).find("")) == "none");
  BOOST_TEST(!account_table(std::make_shared<route::route_set>(), 5).applies());
}

// A key in two accounts must not change its owner with the order of hashes,
// and the report of it must not hold the key.
BOOST_AUTO_TEST_CASE(a_key_in_two_accounts_belongs_to_the_first) {
  const account_table Table = makeTable({makeAccount("a", {"key-1", "same"}),
                                         makeAccount("b", {"same", "key-2"}),
                                         makeAccount("c", {"same"})});
  BOOST_TEST(nameOf(Table.find("same")) == "a");
  BOOST_TEST(nameOf(Table.find("key-2")) == "b");
  BOOST_REQUIRE(Table.problems().size() == 2U);
  for (const table_problem &Problem : Table.problems()) {
    BOOST_TEST((Problem.Kind == table_problem::kind::DuplicateKey));
    BOOST_TEST(Problem.Holder == "a");
  }
  BOOST_TEST(Table.problems()[0].Account == "b");
  BOOST_TEST(Table.problems()[1].Account == "c");
}

// A key listed twice in one account is no fault; an account that nobody can
// use is worth a line.
BOOST_AUTO_TEST_CASE(an_account_without_keys_is_reported) {
  const account_table Table =
      makeTable({makeAccount("a", {"k", "k"}), makeAccount("b", {})});
  BOOST_REQUIRE(Table.problems().size() == 1U);
  BOOST_TEST((Table.problems()[0].Kind == table_problem::kind::NoKey));
  BOOST_TEST(Table.problems()[0].Account == "b");
}

// A configuration with thousands of faults must not fill memory or the log.
BOOST_AUTO_TEST_CASE(problems_are_bounded_and_counted) {
  const account_table Table =
      makeTable(std::vector<route::account>(1000, makeAccount("a", {"same"})));
  BOOST_TEST(Table.problems().size() == account_table::MaxProblems);
  BOOST_TEST(Table.problemCount() == 999U);
  BOOST_TEST(nameOf(Table.find("same")) == "a");
}

// Keys of 256 bits as hexadecimal digits and names of usual length: the stated
// bound of 4 MB holds for the accounts of a version and their table together.
BOOST_AUTO_TEST_CASE(ten_thousand_accounts_take_under_4_megabytes) {
  constexpr std::size_t MaxBytes = 4000000;
  constexpr int Count = 10000;
  const auto Key = [](const int Account, const int Number) {
    std::string Text = std::to_string(Account) + '-' + std::to_string(Number);
    return Text + std::string(64 - Text.size(), 'f');
  };
  const std::size_t Before = HeldBytes;
  auto Set = std::make_shared<route::route_set>();
  Set->Accounts.emplace().reserve(Count);
  for (int Account = 0; Account < Count; ++Account) {
    route::account Row;
    Row.Name = "customer-" + std::to_string(Account);
    Row.Keys.reserve(2);
    // Copies have no spare capacity, like the keys that a reader makes.
    for (const std::string &Text : {Key(Account, 0), Key(Account, 1)})
      Row.Keys.push_back(Text);
    Set->Accounts->push_back(std::move(Row));
  }
  const account_table Table(Set, 5);
  const std::size_t Bytes = HeldBytes - Before;
  BOOST_TEST_MESSAGE("bytes of 10,000 accounts: " << Bytes);
  BOOST_TEST(Bytes > 1000000U);
  BOOST_TEST(Bytes < MaxBytes);
  for (int Account = 0; Account < Count; ++Account)
    for (int Number = 0; Number < 2; ++Number)
      if (Table.find(Key(Account, Number)) != &(*Set->Accounts)[Account])
        BOOST_ERROR("key " << Number << " of account " << Account);
}

// A comparison that ends at the first difference, or wraps wrongly where the
// lengths differ, accepts or reveals a prefix.
BOOST_AUTO_TEST_CASE(the_constant_time_comparison_compares_all_bytes) {
  for (const std::string_view Left : {"", "a", "ab", "abab", "abac", "bbab"})
    for (const std::string_view Right : {"", "a", "ab", "abab", "abac", "bbab"})
      BOOST_TEST(equalInConstantTime(Left, Right) == (Left == Right));
  const std::string Long(300, 'x');
  for (std::size_t At = 0; At < Long.size(); ++At) {
    std::string Other = Long;
    Other[At] = 'y';
    BOOST_TEST(!equalInConstantTime(Other, Long));
  }
  BOOST_TEST(!equalInConstantTime(std::string(256, 'x'), "x"));
}

// 0 is a priority of its own, the highest, and not an absent one.
BOOST_AUTO_TEST_CASE(the_priority_of_an_account_overrides_the_routes) {
  route::route Route;
  Route.Priority = 2;
  route::account Account;
  BOOST_TEST(priorityOf(Route, nullptr) == 2);
  BOOST_TEST(priorityOf(Route, &Account) == 2);
  Account.Priority = 0;
  BOOST_TEST(priorityOf(Route, &Account) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
