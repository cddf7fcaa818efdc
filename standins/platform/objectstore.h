#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::standins {

/// One object as read. Version 0 means deleted.
struct platform_object {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// The HTTP status of a call and the object's version after it.
struct store_outcome {
  int Status = 200;
  std::uint64_t Version = 0;
};

/// The platform's objects. Versions of a key never repeat; the revision
/// counts every write.
class object_store {
public:
  static constexpr std::size_t MostValueBytes = 1000000;

  /// 200; 409 when the present version isn't \p IfVersion (0: no object);
  /// 413 over the size limit; 400 for a bad key.
  auto put(const std::string &Key, std::string Value, std::uint64_t IfVersion)
      -> store_outcome;

  /// 200, 404 or 409.
  auto remove(const std::string &Key, std::uint64_t IfVersion) -> store_outcome;

  /// The object; Version 0 when there is none.
  auto get(const std::string &Key) const -> platform_object;
  auto list(std::string_view Prefix) const -> std::vector<platform_object>;

  /// What changed after \p Revision under \p Prefix, deleted ones included.
  auto changedAfter(std::string_view Prefix, std::uint64_t Revision) const
      -> std::vector<platform_object>;
  auto revision() const -> std::uint64_t { return Revision; }

private:
  struct record {
    std::uint64_t LastVersion = 0;
    std::uint64_t ChangedAt = 0;
    bool Present = false;
    std::string Value;
  };

  auto read(const std::string &Key, const record &Record) const
      -> platform_object;

  std::map<std::string, record, std::less<>> Records;
  std::uint64_t Revision = 0;
};

} // namespace tarragon::standins
