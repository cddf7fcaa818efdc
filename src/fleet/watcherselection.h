#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstdint>
#include <random>
#include <vector>

namespace tarragon::fleet {

/// Decides which instances watch the source of shared documents. A fixed small
/// number watches, so that the calls don't grow with the number of instances;
/// the others fetch changes from them. There is no lease: each instance decides
/// for itself, and a disagreement only causes more calls.
///
/// The source may refuse or ignore some instances, among them all that watch.
/// Two mechanisms keep every instance up to date as long as the source answers
/// any of them:
/// - A watcher whose calls fail requests help from random peers, from twice as
///   many each time.
/// - Instances exchange the age of the latest answer that any of them got. Once
///   it exceeds a share of the permitted delay, each draws at random whether it
///   calls the source; the expected number of callers doubles up to a maximum
///   that doesn't depend on the number of instances, and falls again if the
///   source stays silent.
///
/// When many start together, each draws whether it calls the source before it
/// has heard of an answer; the others wait for a copy from a peer.
///
/// Some of those that the source answers then go on watching for a while. Times
/// are those of bootTime(), so that an instance that was suspended doesn't
/// report an old answer as recent. Does no I/O; not thread-safe.
class watcher_selection {
public:
  /// A live instance. Those of higher capacity rank first as watchers, since
  /// the others fetch from them.
  struct candidate {
    instance_id Id;
    double Capacity = 0;
    failure_domain Domain;
  };

  /// \p MaxDelay is the time within which a change at the source must reach
  /// every instance. \p Now is the start of this instance.
  watcher_selection(candidate Self, milliseconds MaxDelay, std::uint64_t Seed,
                    time_point Now);

  /// Records that the source answered this instance.
  auto onAnswer(time_point Now) -> void;

  /// Records that a call of this instance failed. Returns the number of peers
  /// to request help from.
  auto onFailure(time_point Now) -> std::size_t;

  /// Tells that peers can be expected to answer soon, since this instance knows
  /// where to find some and isn't one of those itself.
  auto expectPeers() -> void { ExpectsPeers = true; }

  /// Records how many live instances a peer knows.
  auto onPeerCount(std::size_t Count) -> void;

  /// Records a peer's answerAge().
  auto onPeerAge(milliseconds Age, time_point Now) -> void;

  /// Records that a peer requested help.
  auto onHelpRequest(time_point Now) -> void;

  /// Sets the live \p Peers, without this instance; to be called when they
  /// change.
  auto setPeers(const std::vector<candidate> &Peers) -> void;

  /// Returns whether this instance has to call the source.
  auto mustWatch(time_point Now) -> bool;

  /// Returns the time since the latest answer of the source to any instance, as
  /// far as this one knows.
  auto answerAge(time_point Now) const -> milliseconds;

  /// Returns whether the source has not been heard of for so long that all
  /// instances look for one that it answers.
  auto isStale(time_point Now) const -> bool;

  static constexpr std::size_t WatcherCount = 2;
  /// Expected number of instances that call the source in one slot of a start.
  static constexpr std::size_t StartCallers = 24;
  static constexpr milliseconds StartSlotTime{100};
  /// Maximum of the expected number of instances that call the source in one
  /// slot while its latest answer is stale.
  static constexpr std::size_t MaxDrawn = 16;
  static constexpr std::size_t MinDrawn = 4;
  static constexpr milliseconds SlotTime{250};
  /// Slots with growing or maximum numbers of callers; then they are longer.
  static constexpr int FastSlots = 8;
  static constexpr milliseconds SlowSlotTime{1000};

private:
  auto isCalledUpon(time_point Now) const -> bool;
  auto isRegularWatcher(const std::vector<candidate> &Peers) const -> bool;
  auto hasHeard() const -> bool;
  auto drawAtStart(time_point Now) -> bool;
  auto draw(time_point Now) -> void;

  candidate Self;
  milliseconds MaxDelay;
  std::mt19937_64 Random;
  time_point StartedAt;
  time_point LatestAnswer;   ///< to any instance
  time_point AsksUntil;      ///< calls on request of a peer, or was drawn
  time_point ExtraUntil;     ///< watches beyond the regular watchers
  time_point SlotEnd;        ///< of the latest draw
  int Slots = 0;             ///< drawn since the latest answer
  std::size_t HelpCount = 0; ///< peers requested last
  bool IsRegular = true;     ///< one of the regular watchers
  std::size_t Instances = 1;
  std::size_t MostReported = 1; ///< live instances that a peer knows
  bool ExpectsPeers = false;
  bool IsDrawnAtStart = false;
};

} // namespace tarragon::fleet
