#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::standins {

/// An object as read. Version 0 means that it does not exist.
struct platform_object {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// The HTTP status of a call and the object's version after the call.
struct store_outcome {
  int Status = 200;
  std::uint64_t Version = 0;
};

/// The platform's objects. Versions of a key are never reused, not even after a
/// deletion; the revision counts all successful writes.
class object_store {
public:
  static constexpr std::size_t MaxValueBytes = 1000000;

  /// Writes an object. Returns status 200; 409 if the current version is not
  /// \p IfVersion (0: no object); 413 if \p Value is too large; 400 if \p Key
  /// is malformed.
  auto put(const std::string &Key, std::string Value, std::uint64_t IfVersion)
      -> store_outcome;

  /// Deletes an object. Returns status 200; 404 if there is none; 409 if its
  /// current version is not \p IfVersion.
  auto remove(const std::string &Key, std::uint64_t IfVersion) -> store_outcome;

  /// Returns the object, with Version 0 if there is none.
  auto get(const std::string &Key) const -> platform_object;

  /// Returns the existing objects under \p Prefix in the order of their keys.
  auto list(std::string_view Prefix) const -> std::vector<platform_object>;

  /// Returns the objects under \p Prefix that were written after \p Revision,
  /// including deleted ones.
  auto changedAfter(std::string_view Prefix, std::uint64_t Revision) const
      -> std::vector<platform_object>;
  auto revision() const -> std::uint64_t { return Revision; }

private:
  struct record {
    std::uint64_t LastVersion = 0;
    std::uint64_t ChangedAt = 0;
    bool Exists = false;
    std::string Value;
  };

  auto read(const std::string &Key, const record &Record) const
      -> platform_object;

  std::map<std::string, record, std::less<>> Records;
  std::uint64_t Revision = 0;
};

} // namespace tarragon::standins
