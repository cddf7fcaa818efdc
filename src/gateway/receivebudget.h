#pragma once

#include <cstddef>
#include <memory>

namespace tarragon::gateway {

/// Counts the bytes of answers that are being received or are kept, over all
/// connections that share it, so that targets that send without end can't use
/// up the memory. Not thread-safe.
class receive_budget {
public:
  /// An answer's share of the budget; returned when it is destroyed.
  class lease {
  public:
    explicit lease(std::shared_ptr<receive_budget> Budget)
        : Budget(std::move(Budget)) {}
    ~lease() { resize(0); }
    lease(const lease &) = delete;
    auto operator=(const lease &) -> lease & = delete;

    /// Sets the bytes that the answer holds. Returns false if it must not hold
    /// more: the budget is used up and the answer has more than MinShare.
    auto resize(std::size_t Bytes) -> bool {
      Budget->Used += Bytes;
      Budget->Used -= Held;
      Held = Bytes;
      return Budget->Used <= Budget->Max || Held <= MinShare;
    }

  private:
    std::shared_ptr<receive_budget> Budget;
    std::size_t Held = 0;
  };

  explicit receive_budget(std::size_t MaxBytes) : Max(MaxBytes) {}

  auto used() const -> std::size_t { return Used; }

  /// An answer of this size is received whatever the others hold.
  static constexpr std::size_t MinShare = 131072;

private:
  std::size_t Max;
  std::size_t Used = 0;
};

} // namespace tarragon::gateway
