#include "standins/platform/objectstore.h"

#include <algorithm>
#include <cctype>

namespace tarragon::standins {

namespace {

auto isKey(const std::string &Key) -> bool {
  return !Key.empty() &&
         std::all_of(Key.begin(), Key.end(), [](const unsigned char Character) {
           return std::isalnum(Character) != 0 || Character == '-' ||
                  Character == '_' || Character == '.' || Character == '/';
         });
}

} // namespace

auto object_store::put(const std::string &Key, std::string Value,
                       const std::uint64_t IfVersion) -> store_outcome {
  if (!isKey(Key))
    return {400, 0};
  if (Value.size() > MaxValueBytes)
    return {413, 0};
  record &Record = Records[Key];
  const std::uint64_t Current = Record.Exists ? Record.LastVersion : 0;
  if (Current != IfVersion)
    return {409, Current};
  Record.Exists = true;
  Record.Value = std::move(Value);
  Record.ChangedAt = ++Revision;
  return {200, ++Record.LastVersion};
}

auto object_store::remove(const std::string &Key, const std::uint64_t IfVersion)
    -> store_outcome {
  const auto Found = Records.find(Key);
  if (Found == Records.end() || !Found->second.Exists)
    return {404, 0};
  record &Record = Found->second;
  if (Record.LastVersion != IfVersion)
    return {409, Record.LastVersion};
  Record.Exists = false;
  Record.Value.clear();
  Record.ChangedAt = ++Revision;
  return {200, 0};
}

auto object_store::get(const std::string &Key) const -> platform_object {
  const auto Found = Records.find(Key);
  if (Found == Records.end())
    return {Key, 0, {}};
  return read(Key, Found->second);
}

auto object_store::list(const std::string_view Prefix) const
    -> std::vector<platform_object> {
  std::vector<platform_object> Objects;
  for (auto It = Records.lower_bound(Prefix);
       It != Records.end() && It->first.starts_with(Prefix); ++It)
    if (It->second.Exists)
      Objects.push_back(read(It->first, It->second));
  return Objects;
}

auto object_store::changedAfter(const std::string_view Prefix,
                                const std::uint64_t After) const
    -> std::vector<platform_object> {
  std::vector<platform_object> Objects;
  for (auto It = Records.lower_bound(Prefix);
       It != Records.end() && It->first.starts_with(Prefix); ++It)
    if (It->second.ChangedAt > After)
      Objects.push_back(read(It->first, It->second));
  return Objects;
}

auto object_store::read(const std::string &Key, const record &Record) const
    -> platform_object {
  if (!Record.Exists)
    return {Key, 0, {}};
  return {Key, Record.LastVersion, Record.Value};
}

} // namespace tarragon::standins
