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

/// The fault injected into one call. Of these, only Unavailable affects reads.
enum class store_fault {
  None,
  Unavailable, ///< proven not to have been executed
  LostReply,   ///< takes effect, but the reply is lost
  LostWrite,   ///< takes no effect, and the reply is lost
  LateWrite,   ///< the reply is lost; landOne() applies the write later
  DoubleSend   ///< arrives twice; returns the reply to the second arrival
};

/// An in-memory object store with scripted faults, for tests. Models
/// object_store; not thread-safe.
class fake_store {
public:
  /// Returns the fault to inject into a call; invoked before each call.
  using fault_script =
      std::function<store_fault(call_kind Kind, const std::string &Key)>;

  fake_store() = default;
  explicit fake_store(fault_script Script) : Script(std::move(Script)) {}

  auto setScript(fault_script NewScript) -> void {
    Script = std::move(NewScript);
  }

  auto get(const std::string &Key) -> result<stored_object> {
    if (isUnavailable(call_kind::Get, Key))
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
    if (isUnavailable(call_kind::List, Prefix))
      return unavailable();
    return objectsUnder(Prefix, 0, false);
  }

  /// Returns at once, ignoring the wait time.
  auto watch(const std::string &Prefix, const std::uint64_t Revision,
             milliseconds /*Wait*/) -> result<watch_reply> {
    if (isUnavailable(call_kind::Watch, Prefix))
      return unavailable();
    return watch_reply{StoreRevision, objectsUnder(Prefix, Revision, true)};
  }

  auto instances() -> result<std::vector<instance>> {
    if (isUnavailable(call_kind::Instances, {}))
      return unavailable();
    return Instances;
  }

  /// Applies the oldest late write if its expected version still holds. Returns
  /// false if no late write is pending.
  auto landOne() -> bool {
    if (LateWrites.empty())
      return false;
    const late_write Write = std::move(LateWrites.front());
    LateWrites.pop_front();
    static_cast<void>(applyWrite(Write.Kind, Write.Object));
    return true;
  }

  std::vector<instance> Instances;

private:
  struct late_write {
    call_kind Kind;
    stored_object Object; ///< Version holds the expected version
  };

  static auto unavailable() -> failure {
    return fail(result_code::PlatformUnavailable, "scripted outage");
  }

  auto nextFault(const call_kind Kind, const std::string &Key) -> store_fault {
    return Script ? Script(Kind, Key) : store_fault::None;
  }

  auto isUnavailable(const call_kind Kind, const std::string &Key) -> bool {
    return nextFault(Kind, Key) == store_fault::Unavailable;
  }

  auto objectsUnder(const std::string &Prefix, const std::uint64_t After,
                    const bool IncludeDeleted) const
      -> std::vector<stored_object> {
    std::vector<stored_object> Found;
    for (const auto &[Key, Object] : Objects)
      if (Key.starts_with(Prefix) && ChangedAt.at(Key) > After &&
          (IncludeDeleted || Object.Version > 0))
        Found.push_back(Object);
    return Found;
  }

  auto write(const call_kind Kind, const stored_object &Object)
      -> result<object_version> {
    const failure Lost = fail(result_code::ReplyLost, "scripted loss");
    switch (nextFault(Kind, Object.Key)) {
    case store_fault::None:
      return applyWrite(Kind, Object);
    case store_fault::Unavailable:
      return unavailable();
    case store_fault::LostReply:
      static_cast<void>(applyWrite(Kind, Object));
      return Lost;
    case store_fault::LostWrite:
      return Lost;
    case store_fault::LateWrite:
      LateWrites.push_back({Kind, Object});
      return Lost;
    case store_fault::DoubleSend:
      static_cast<void>(applyWrite(Kind, Object));
      return applyWrite(Kind, Object);
    }
    return Lost;
  }

  /// Applies a write if the object's version is the expected one; returns
  /// ObjectConflict otherwise.
  auto applyWrite(const call_kind Kind, const stored_object &Object)
      -> result<object_version> {
    const auto Found = Objects.find(Object.Key);
    const object_version CurrentVersion =
        Found == Objects.end() ? 0 : Found->second.Version;
    if (CurrentVersion != Object.Version)
      return fail(result_code::ObjectConflict, Object.Key);
    const object_version Next = ++LastVersion[Object.Key];
    const bool IsRemove = Kind == call_kind::Remove;
    Objects[Object.Key] = {Object.Key, IsRemove ? 0 : Next, Object.Value};
    ChangedAt[Object.Key] = ++StoreRevision;
    return Next;
  }

  fault_script Script;
  /// By key. Deleted objects have version 0.
  std::map<std::string, stored_object> Objects;
  std::map<std::string, object_version> LastVersion;
  std::map<std::string, std::uint64_t> ChangedAt;
  std::deque<late_write> LateWrites;
  std::uint64_t StoreRevision = 0;
};

static_assert(object_store<fake_store>);

} // namespace tarragon::store
