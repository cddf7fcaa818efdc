#include "account/accounttable.h"

#include "account/constanttime.h"
#include "global/hash.h"

#include <algorithm>
#include <tuple>

namespace tarragon::account {

account_table::account_table(std::shared_ptr<const route::route_set> NewSet,
                             const std::uint64_t NewSeed)
    : Set(std::move(NewSet)), Seed(NewSeed) {
  if (!Set->Accounts)
    return;
  const std::vector<route::account> &Accounts = *Set->Accounts;
  std::size_t Count = 0;
  for (const route::account &Account : Accounts)
    Count += Account.Keys.size();
  Entries.reserve(Count);
  for (std::uint32_t At = 0; At < Accounts.size(); ++At) {
    const route::account &Account = Accounts[At];
    if (Account.Keys.empty())
      addProblem({table_problem::kind::NoKey, Account.Name, {}});
    for (std::uint32_t Key = 0; Key < Account.Keys.size(); ++Key)
      Entries.push_back({hash64(Account.Keys[Key], Seed), At, Key});
  }
  std::sort(Entries.begin(), Entries.end(),
            [](const entry &Left, const entry &Right) {
              return std::tie(Left.Hash, Left.Account, Left.Key) <
                     std::tie(Right.Hash, Right.Account, Right.Key);
            });
  removeDuplicates();
}

auto account_table::keyOf(const entry &Entry) const -> std::string_view {
  return (*Set->Accounts)[Entry.Account].Keys[Entry.Key];
}

auto account_table::addProblem(table_problem Problem) -> void {
  ++ProblemCount;
  if (Problems.size() < MaxProblems)
    Problems.push_back(std::move(Problem));
}

auto account_table::removeDuplicates() -> void {
  std::vector<entry> Kept;
  Kept.reserve(Entries.size());
  for (const entry &Entry : Entries) {
    const auto SameHash =
        std::find_if(Kept.rbegin(), Kept.rend(), [&Entry](const entry &Each) {
          return Each.Hash != Entry.Hash;
        });
    const auto Holder =
        std::find_if(SameHash.base(), Kept.end(), [&](const entry &Each) {
          return keyOf(Each) == keyOf(Entry);
        });
    if (Holder == Kept.end())
      Kept.push_back(Entry);
    else if (Holder->Account != Entry.Account)
      addProblem({table_problem::kind::DuplicateKey,
                  (*Set->Accounts)[Entry.Account].Name,
                  (*Set->Accounts)[Holder->Account].Name});
  }
  Entries = std::move(Kept);
}

auto account_table::find(const std::string_view Key) const
    -> const route::account * {
  const std::uint64_t Hash = hash64(Key, Seed);
  auto At = std::lower_bound(Entries.begin(), Entries.end(), Hash,
                             [](const entry &Entry, const std::uint64_t Value) {
                               return Entry.Hash < Value;
                             });
  for (; At != Entries.end() && At->Hash == Hash; ++At)
    if (equalInConstantTime(Key, keyOf(*At)))
      return &(*Set->Accounts)[At->Account];
  return nullptr;
}

} // namespace tarragon::account
