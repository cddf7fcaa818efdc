#pragma once

#include "caserecord.h"
#include "entryprocess.h"
#include "smalldeployment.h"

namespace review {

/// Sends a request for \p Path to one machine each \p Pause, each on a
/// connection of its own, until \p Ends; returns when all have ended.
inline auto sendRepeatedly(const entry_process &Entry, const std::string &Name,
                           const std::string &Path, const milliseconds Pause,
                           case_record &Record, const std::atomic<bool> &Ends)
    -> void {
  std::vector<std::thread> Attempts;
  for (int Count = 0; !Ends; ++Count) {
    const std::string Id = Name + "-" + std::to_string(Count);
    Attempts.emplace_back([&Entry, &Record, Path, Id] {
      byte_stream Stream(byte_stream::connectTo(Entry.ip(), Entry.frontPort()));
      Record.write("sent " + Id + " " + Path);
      const bool IsSent =
          Stream.isOpen() &&
          Stream.write("GET " + Path + " HTTP/1.1\r\nHost: " +
                       small_deployment::Host + "\r\nX-Request-Id: " + Id +
                       "\r\nX-Deadline-Ms: 8000\r\nConnection: close\r\n\r\n");
      const auto Answer = IsSent ? readMessage(Stream, std::chrono::seconds(9))
                                 : std::optional<http_message>();
      Record.write("answered " + Id + " " +
                   (Answer ? std::to_string(Answer->status()) : "nothing"));
    });
    std::this_thread::sleep_for(Pause);
  }
  for (std::thread &Attempt : Attempts)
    Attempt.join();
}

} // namespace review
