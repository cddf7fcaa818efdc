#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The file in which a case records what was sent, answered and run.
class case_record {
public:
  explicit case_record(const std::string &Path)
      : File(Path), StartedAt(std::chrono::steady_clock::now()) {}

  auto write(const std::string &Line) -> void {
    const std::chrono::duration<double> Passed =
        std::chrono::steady_clock::now() - StartedAt;
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f ", Passed.count());
    const std::lock_guard Lock(Mutex);
    File << Time << Line << std::endl;
  }

private:
  std::ofstream File;
  std::chrono::steady_clock::time_point StartedAt;
  std::mutex Mutex;
};

} // namespace review
