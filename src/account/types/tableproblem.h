#pragma once

#include <string>

namespace tarragon::account {

/// A fault of an account in the configuration. Names accounts, never a key.
struct table_problem {
  enum class kind {
    NoKey,        ///< no request can use the account
    DuplicateKey, ///< one of its keys belongs to an earlier account
  };

  kind Kind = kind::NoKey;
  std::string Account;
  std::string Holder; ///< the earlier account that has the key; or empty
};

} // namespace tarragon::account
