#pragma once

namespace tarragon::placement {

/// How well the loads that targets report predict the latencies of this
/// instance's attempts. Targets may report numbers that are wrong, or older
/// than they look; instances that follow such numbers overload the targets in
/// turns.
///
/// Keeps a moving linear regression of the measured latency on the expected
/// wait over a long window, and over a short one that replaces it when the two
/// differ. Not thread-safe.
class news_trust {
public:
  /// Records an answered attempt: the wait that was expected when it was sent
  /// and its latency, both in median latencies.
  auto record(double ExpectedWait, double Latency) -> void;

  /// Returns the weight of reported loads, from 0 to 1. It is 1 until enough
  /// attempts are recorded; from then on it is above 0 only while these show
  /// that latencies follow the expected waits.
  auto value() const -> double { return Value; }

private:
  /// Moments of the waits and latencies of the last attempts.
  struct regression {
    auto record(double Wait, double Latency, int Window) -> void;
    auto slope() const -> double;
    /// Returns the standard error of the slope.
    auto error() const -> double;

    int Count = 0; ///< recorded attempts, up to the length of the window
    double MeanWait = 0;
    double MeanLatency = 1;
    double WaitVariance = 0;
    double LatencyVariance = 0;
    double Covariance = 0;
  };

  regression Long;
  regression Short;
  double Value = 1;
};

} // namespace tarragon::placement
