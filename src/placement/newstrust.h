#pragma once

namespace tarragon::placement {

/// How well the loads that targets report predict the latencies of this
/// instance's attempts. Targets may report numbers that are wrong, or older
/// than they look; instances that follow such numbers overload the targets in
/// turns.
///
/// Keeps a moving linear regression of the measured latency on the expected
/// wait. Not thread-safe.
class news_trust {
public:
  /// Records an answered attempt: the wait that was expected when it was sent
  /// and its latency, both in median latencies.
  auto record(double ExpectedWait, double Latency) -> void;

  /// Returns the weight of reported loads, from 0 to 1. It is 1 until recorded
  /// attempts say otherwise.
  auto value() const -> double { return Value; }

private:
  double MeanWait = 0;
  double MeanLatency = 1;
  double Variance = 0;   ///< of the expected wait
  double Covariance = 0; ///< of the expected wait and the latency
  double Value = 1;
};

} // namespace tarragon::placement
