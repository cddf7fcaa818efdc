#pragma once

#include "store/iobjectstore.h"
#include "store/types/callkind.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tarragon::store {

/// What goes wrong with one call. Reads know None and Unavailable only.
enum class store_fault {
  None,
  Unavailable, ///< proven not done
  LostReply,   ///< done, the reply is lost
  LostWrite,   ///< never done, the reply is lost
  LateWrite,   ///< the reply is lost, the write lands at a later time
  DoubleSend   ///< arrives twice; the second arrival's reply is given
};

/// An object store in memory for tests, with scripted faults; a model of
/// object_store. Not thread-safe.
class fake_store {
public:
  /// Asked before each call for the fault to inject.
  using fault_script =
      std::function<store_fault(call_kind Kind, const std::string &Key)>;

  fake_store() = default;
  explicit fake_store(fault_script Script) : Script(std::move(Script)) {}

  auto setScript(fault_script NewScript) -> void {
    Script = std::move(NewScript);
  }

  auto get(const std::string &Key) -> result<stored_object> {
    if (isDown(call_kind::Get, Key))
      return unavailable();
    const auto Found = Objects.find(Key);
    if (Found == Objects.end() || Found->second.Version == 0)
      return fail(result_code::ObjectMissing, Key);
    return Found->second;
  }

  auto put(const std::string &Key, const std::string &Value,
           const object_version Expected) -> result<object_version> {
    return write(call_kind::Put, {Key, Expected, Value});
  }

  auto remove(const std::string &Key, const object_version Expected)
      -> result<void> {
    const auto Done = write(call_kind::Remove, {Key, Expected, {}});
    if (!Done)
      return Done.error();
    return succeed();
  }

  auto list(const std::string &Prefix) -> result<std::vector<stored_object>> {
    if (isDown(call_kind::List, Prefix))
      return unavailable();
    return under(Prefix, 0, false);
  }

  /// Never waits.
  auto watch(const std::string &Prefix, const std::uint64_t Revision,
             milliseconds /*Wait*/) -> result<watch_reply> {
    if (isDown(call_kind::Watch, Prefix))
      return unavailable();
    return watch_reply{StoreRevision, under(Prefix, Revision, true)};
  }

  auto instances() -> result<std::vector<instance>> {
    if (isDown(call_kind::Instances, {}))
      return unavailable();
    return Instances;
  }

  /// Lets the oldest late write land; false when none is under way.
  auto landOne() -> bool {
    if (Late.empty())
      return false;
    const late_write Write = std::move(Late.front());
    Late.pop_front();
    static_cast<void>(effect(Write.Kind, Write.Object));
    return true;
  }

  std::vector<instance> Instances;

private:
  struct late_write {
    call_kind Kind;
    stored_object Object; ///< its version is the expected one
  };

  static auto unavailable() -> failure {
    return fail(result_code::PlatformUnavailable, "scripted outage");
  }

  auto nextFault(const call_kind Kind, const std::string &Key) -> store_fault {
    return Script ? Script(Kind, Key) : store_fault::None;
  }

  auto isDown(const call_kind Kind, const std::string &Key) -> bool {
    return nextFault(Kind, Key) == store_fault::Unavailable;
  }

  auto under(const std::string &Prefix, const std::uint64_t After,
             const bool Deleted) const -> std::vector<stored_object> {
    std::vector<stored_object> Found;
    for (const auto &[Key, Object] : Objects)
      if (Key.starts_with(Prefix) && ChangedAt.at(Key) > After &&
          (Deleted || Object.Version > 0))
        Found.push_back(Object);
    return Found;
  }

  auto write(const call_kind Kind, const stored_object &Object)
      -> result<object_version> {
    const failure Lost = fail(result_code::ReplyLost, "scripted loss");
    switch (nextFault(Kind, Object.Key)) {
    case store_fault::None:
      return effect(Kind, Object);
    case store_fault::Unavailable:
      return unavailable();
    case store_fault::LostReply:
      static_cast<void>(effect(Kind, Object));
      return Lost;
    case store_fault::LostWrite:
      return Lost;
    case store_fault::LateWrite:
      Late.push_back({Kind, Object});
      return Lost;
    case store_fault::DoubleSend:
      static_cast<void>(effect(Kind, Object));
      return effect(Kind, Object);
    }
    return Lost;
  }

  /// The write's effect on the store, if its expected version is present.
  auto effect(const call_kind Kind, const stored_object &Wanted)
      -> result<object_version> {
    const auto Found = Objects.find(Wanted.Key);
    const object_version Present =
        Found == Objects.end() ? 0 : Found->second.Version;
    if (Present != Wanted.Version)
      return fail(result_code::ObjectConflict, Wanted.Key);
    const object_version Next = ++LastVersion[Wanted.Key];
    const bool Delete = Kind == call_kind::Remove;
    Objects[Wanted.Key] = {Wanted.Key, Delete ? 0 : Next, Wanted.Value};
    ChangedAt[Wanted.Key] = ++StoreRevision;
    return Next;
  }

  fault_script Script;
  std::map<std::string, stored_object> Objects; ///< deleted: version 0
  std::map<std::string, object_version> LastVersion;
  std::map<std::string, std::uint64_t> ChangedAt;
  std::deque<late_write> Late;
  std::uint64_t StoreRevision = 0;
};

static_assert(object_store<fake_store>);

} // namespace tarragon::store
