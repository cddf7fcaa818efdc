#pragma once

#include "entryprocess.h"
#include "smalldeployment.h"

#include <random>

namespace review {

/// Where a caller connects: asks the directory of the machines that it is
/// given, the nearest first, and keeps the answer for its time.
class directory {
public:
  using machines = std::vector<const entry_process *>;

  explicit directory(machines Nearest) : Nearest(std::move(Nearest)) {}

  /// Returns a connection to one of the addresses in the answer, or none.
  auto connect() -> std::unique_ptr<byte_stream> {
    if (steady::now() >= KeptUntil)
      ask();
    if (Addresses.empty())
      return nullptr;
    const std::string &Address = Addresses[Random() % Addresses.size()];
    const std::size_t Colon = Address.find(':');
    auto Stream = std::make_unique<byte_stream>(
        byte_stream::connectTo(Address.substr(0, Colon),
                               std::atoi(Address.substr(Colon + 1).c_str())));
    return Stream->isOpen() ? std::move(Stream) : nullptr;
  }

  /// Returns whether the answer has been kept for its time, so that the
  /// connections made by it are to be chosen anew.
  auto isOld() const -> bool { return steady::now() >= KeptUntil; }

private:
  auto ask() -> void {
    for (const entry_process *const Machine : Nearest) {
      byte_stream Stream(
          byte_stream::connectTo(Machine->ip(), Machine->directoryPort()));
      if (!Stream.isOpen() ||
          !Stream.write(std::string("GET /resolve?name=") +
                        small_deployment::Host + "&region=r&zone=" +
                        Machine->zone() + " HTTP/1.1\r\nHost: d\r\n\r\n"))
        continue;
      const auto Answer = readMessage(Stream, milliseconds(1000));
      if (!Answer || Answer->status() != 200)
        continue;
      read(Answer->Body);
      KeptUntil = steady::now() + milliseconds(1000);
      return;
    }
  }

  /// Takes the texts that look like "IP:PORT".
  auto read(const std::string &Body) -> void {
    Addresses.clear();
    for (std::size_t At = Body.find("\"127."); At != std::string::npos;
         At = Body.find("\"127.", At + 1))
      Addresses.push_back(Body.substr(At + 1, Body.find('"', At + 1) - At - 1));
  }

  machines Nearest;
  std::vector<std::string> Addresses;
  steady::time_point KeptUntil;
  std::mt19937 Random{std::random_device{}()};
};

} // namespace review
