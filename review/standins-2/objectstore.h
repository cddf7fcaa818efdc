#pragma once

#include "httpmessage.h"
#include "tcpserver.h"

#include <condition_variable>
#include <cstdint>
#include <map>

namespace review {

/// The platform's store: objects by kind and name, lists and watches.
class object_store {
public:
  object_store() : Server([this](byte_stream &Stream) { serve(Stream); }) {}
  ~object_store() {
    {
      const std::lock_guard Lock(Mutex);
      Ends = true;
    }
    Changed.notify_all();
    Server.stop();
  }

  auto start(const std::string &Ip) -> bool { return Server.start(Ip); }
  auto port() const -> int { return Server.port(); }

  /// Creates or replaces an object.
  auto put(const std::string &Kind, const std::string &Name,
           const std::string &Spec) -> void {
    const std::lock_guard Lock(Mutex);
    record(Kind, Name, Spec, false);
  }

  auto remove(const std::string &Kind, const std::string &Name) -> void {
    const std::lock_guard Lock(Mutex);
    record(Kind, Name, "null", true);
  }

private:
  struct event {
    std::uint64_t Revision = 0;
    std::string Kind;
    std::string Text;
  };

  auto record(const std::string &Kind, const std::string &Name,
              const std::string &Spec, const bool IsDeleted) -> void {
    ++Revision;
    const std::string Object =
        R"({"meta":{"name":")" + Name + R"(","revision":)" +
        std::to_string(Revision) +
        R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + Spec +
        R"(,"status":null})";
    if (IsDeleted)
      Objects[Kind].erase(Name);
    else
      Objects[Kind][Name] = Object;
    Events.push_back({Revision, Kind,
                      std::string(R"({"deleted":)") +
                          (IsDeleted ? "true" : "false") + R"(,"object":)" +
                          Object + "}"});
    Changed.notify_all();
  }

  static auto parameter(const std::string &Target, const std::string &Name)
      -> std::uint64_t {
    const auto At = Target.find(Name + "=");
    return At == std::string::npos
               ? 0
               : std::strtoull(Target.c_str() + At + Name.size() + 1, nullptr,
                               10);
  }

  auto serve(byte_stream &Stream) -> void {
    while (const auto Request = readMessage(Stream, std::chrono::hours(1))) {
      const std::string &Line = Request->StartLine;
      const std::size_t Begin = Line.find(' ') + 1;
      const std::string Target =
          Line.substr(Begin, Line.find(' ', Begin) - Begin);
      constexpr std::size_t PrefixSize = 9; // "/objects/"
      const std::string Kind = Target.substr(
          PrefixSize, std::min(Target.find('?'), Target.size()) - PrefixSize);
      const std::string Body = Target.find("watch=") == std::string::npos
                                   ? list(Kind)
                                   : watch(Kind, Target);
      if (!Stream.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  auto list(const std::string &Kind) -> std::string {
    const std::lock_guard Lock(Mutex);
    std::string Items;
    for (const auto &[Name, Object] : Objects[Kind])
      Items += (Items.empty() ? "" : ",") + Object;
    return R"({"items":[)" + Items + R"(],"more":false,"currentRev":)" +
           std::to_string(Revision) + "}";
  }

  auto watch(const std::string &Kind, const std::string &Target)
      -> std::string {
    const std::uint64_t Since = parameter(Target, "watch");
    const auto Deadline =
        steady::now() + milliseconds(parameter(Target, "waitMs"));
    std::unique_lock Lock(Mutex);
    std::string Found;
    const auto Search = [&] {
      for (const event &Event : Events)
        if (Event.Kind == Kind && Event.Revision > Since)
          Found += (Found.empty() ? "" : ",") + Event.Text;
      return Ends || !Found.empty();
    };
    Changed.wait_until(Lock, Deadline, Search);
    return R"({"events":[)" + Found + R"(],"currentRev":)" +
           std::to_string(Revision) + "}";
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Ends = false;
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, std::string>> Objects;
  std::vector<event> Events;
  tcp_server Server;
};

} // namespace review
