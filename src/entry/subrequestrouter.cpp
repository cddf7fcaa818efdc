#include "entry/subrequestrouter.h"

namespace tarragon::entry {

subrequest_router::subrequest_router(instance_id Self, handlers Handlers)
    : Self(std::move(Self)), Handlers(std::move(Handlers)) {}

auto subrequest_router::setOwners(std::map<group_id, instance> NewOwners)
    -> void {
  const std::lock_guard Lock(Mutex);
  Owners = std::move(NewOwners);
}

auto subrequest_router::send(subrequest Request) -> void {
  std::optional<instance> Owner;
  {
    const std::lock_guard Lock(Mutex);
    Owner = chooseOwner(Request);
    Outstanding[Request.Id] = {Request.Fingerprint, Request.Suspect, Owner,
                               Request.Group};
  }
  if (Owner)
    Handlers.SendToOwner(*Owner, std::move(Request));
  else
    Handlers.RunLocally(std::move(Request));
}

auto subrequest_router::cancel(const query::cancel_subrequest &Cancel) -> void {
  const auto Sent = remove(Cancel.Id);
  if (Sent && Sent->Owner)
    Handlers.CancelAtOwner(*Sent->Owner, Cancel);
  else
    Handlers.CancelLocally(Cancel);
}

auto subrequest_router::remove(const subrequest_id &Id)
    -> std::optional<sent_subrequest> {
  const std::lock_guard Lock(Mutex);
  const auto Found = Outstanding.find(Id);
  if (Found == Outstanding.end())
    return std::nullopt;
  std::optional<sent_subrequest> Sent = std::move(Found->second);
  Outstanding.erase(Found);
  return Sent;
}

auto subrequest_router::markUnreachable(const instance_id &Peer)
    -> std::vector<subrequest_id> {
  const std::lock_guard Lock(Mutex);
  Unreachable.insert(Peer);
  std::vector<subrequest_id> Lost;
  for (const auto &[Id, Sent] : Outstanding)
    if (Sent.Owner && Sent.Owner->Id == Peer)
      Lost.push_back(Id);
  return Lost;
}

auto subrequest_router::markReachable(const instance_id &Peer) -> void {
  const std::lock_guard Lock(Mutex);
  Unreachable.erase(Peer);
}

auto subrequest_router::chooseOwner(const subrequest &Request) const
    -> std::optional<instance> {
  // A message between instances may be lost or duplicated, so non-repeatable
  // subrequests are never sent to another instance.
  if (!Request.Repeatable)
    return std::nullopt;
  const auto Found = Owners.find(Request.Group);
  if (Found == Owners.end() || Found->second.Id == Self)
    return std::nullopt;
  if (Unreachable.contains(Found->second.Id))
    return std::nullopt;
  return Found->second;
}

} // namespace tarragon::entry
