#pragma once

#include "httpmessage.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

#include <fcntl.h>

namespace review {

/// A process of the system under test, started with the command of the deploy
/// file in the root of the repository.
class entry_process {
public:
  /// Where it runs and what its settings say.
  struct place {
    std::string Name;
    std::string Zone;
    std::string Ip;
    int FirstPort = 0; ///< the next nine are used, too
    std::string Seeds; ///< as a YAML list
    std::string Store; ///< address of the store
    std::string Folder;
    std::string Bounds;
  };

  explicit entry_process(place Place) : Place(std::move(Place)) {}
  entry_process(const entry_process &) = delete;
  auto operator=(const entry_process &) -> entry_process & = delete;
  ~entry_process() { kill(); }

  auto start() -> void {
    const std::string Path = Place.Folder + "/" + Place.Name + ".yaml";
    std::ofstream(Path) << settings();
    const std::string LogPath = Place.Folder + "/" + Place.Name + ".log";
    const std::string Port = std::to_string(Place.FirstPort + 9);
    Id = ::fork();
    if (Id != 0)
      return;
    // It must not outlive a check that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("TARRAGONCOVE_NODE_FILE", Path.c_str(), 1);
    const int Log =
        ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    const char *const Program = "target/platform/tarragon-entry";
    ::execl(Program, Program, "--metrics-port", Port.c_str(), nullptr);
    ::_exit(127);
  }

  auto signal(const int Number) const -> void {
    if (Id > 0)
      ::kill(Id, Number);
  }

  auto kill() -> void {
    if (Id <= 0)
      return;
    ::kill(Id, SIGKILL);
    ::waitpid(Id, nullptr, 0);
    Id = -1;
  }

  /// Stops it as the platform does, for good.
  auto terminate(const milliseconds GracePeriod) -> void {
    signal(SIGTERM);
    const auto Deadline = steady::now() + GracePeriod;
    while (steady::now() < Deadline) {
      if (::waitpid(Id, nullptr, WNOHANG) == Id) {
        Id = -1;
        return;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    kill();
  }

  /// Waits until it says that it is ready.
  auto waitUntilReady(const milliseconds Limit) const -> bool {
    const auto Deadline = steady::now() + Limit;
    while (steady::now() < Deadline) {
      byte_stream Stream(byte_stream::connectTo(Place.Ip, Place.FirstPort + 1));
      if (Stream.isOpen() &&
          Stream.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        const auto Answer = readMessage(Stream, milliseconds(1000));
        if (Answer && Answer->status() == 200)
          return true;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  auto directoryPort() const -> int { return Place.FirstPort + 3; }
  auto zone() const -> const std::string & { return Place.Zone; }
  auto ip() const -> const std::string & { return Place.Ip; }
  auto frontPort() const -> int { return Place.FirstPort; }

private:
  auto settings() const -> std::string {
    const auto At = [this](const int Offset) {
      return Place.Ip + ":" + std::to_string(Place.FirstPort + Offset);
    };
    return "nodeName: \"" + Place.Name +
           "\"\nrole: \"entry\"\nmachineClass: \"front\"\n"
           "serves: [\"front\", \"control\", \"directory\"]\nip: \"" +
           Place.Ip + "\"\nzone: \"" + Place.Zone +
           "\"\nregion: \"r\"\nzones: {za: \"r\", zb: \"r\", zc: \"r\"}\n"
           "listenAddresses:\n  front: \"" +
           At(0) + "\"\n  ready: \"" + At(1) + "\"\n  control: \"" + At(2) +
           "\"\n  directory: \"" + At(3) + "\"\ninternalPortRange: [" +
           std::to_string(Place.FirstPort + 4) + ", " +
           std::to_string(Place.FirstPort + 9) + "]\nseeds: " + Place.Seeds +
           "\nbootstrap: true\ninTolerance: false\n"
           "limits: {cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, "
           "linkMbps: 1000.0, diskMb: 0}\ndataDir: null\n"
           "discovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\n"
           "contracts: [base, drain, config, cost, retry, recover, scatter, "
           "platform]\nfaultTolerance: {machines: 2, zones: 0, regions: 0}\n"
           "bounds: {" +
           Place.Bounds + "}\nplatform: {address: \"" + Place.Store +
           "\", form: \"objects\", writesPerS: 400, readsPerS: 2000, "
           "historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}\n";
  }

  place Place;
  pid_t Id = -1;
};

} // namespace review
