#pragma once

#include "caserecord.h"
#include "objectstore.h"

namespace review {

/// A back end of one service. It runs requests that name it, echoes their ids,
/// proves its answers and registers in the store.
class backend {
public:
  struct identity {
    std::string Id;
    std::string Service;
    std::string Zone;
    std::string Ip;
  };
  /// Returns the status with which a request ends that has run, or
  /// NoAnswer.
  using outcome = std::function<int(const http_message &Request)>;

  static constexpr int NoAnswer = 0;

  /// Called when a request arrives that it will run.
  using arrival_handler = std::function<void(const http_message &Request)>;

  backend(identity Identity, object_store &Store, case_record &Record)
      : Identity(std::move(Identity)), Store(Store), Record(Record),
        Server([this](byte_stream &Stream) { serve(Stream); }) {}

  /// Starts it, anew after a crash, as a boot of its own.
  auto start() -> bool {
    if (!Server.start(Identity.Ip))
      return false;
    const auto Now = std::chrono::system_clock::now().time_since_epoch();
    Store.put(
        "servers", Identity.Id,
        R"({"service":")" + Identity.Service + R"(","address":")" +
            Identity.Ip + ":" + std::to_string(Server.port()) +
            R"(","zone":")" + Identity.Zone +
            R"(","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,)"
            R"("sequence":1,"born":)" +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(Now).count()) +
            "}");
    return true;
  }

  auto setArrivalHandler(arrival_handler NewHandler) -> void {
    OnArrival = std::move(NewHandler);
  }

  /// Refuses further connections, as the first sign of a crash.
  auto closePort() -> void { Server.closePort(); }

  /// Ends it without a word to the store.
  auto crash() -> void { Server.stop(); }

  auto setOutcome(outcome NewOutcome) -> void {
    Outcome = std::move(NewOutcome);
  }

  auto id() const -> const std::string & { return Identity.Id; }

private:
  auto serve(byte_stream &Stream) -> void {
    while (const auto Request = readMessage(Stream, std::chrono::hours(1))) {
      const std::string Answer = answer(*Request);
      if (Answer.empty() || !Stream.write(Answer))
        return;
    }
  }

  auto answer(const http_message &Request) -> std::string {
    const std::string Id = Request.field("X-Request-Id");
    const std::string Echo = "X-Request-Id: " + Id + "\r\n";
    if (Request.field("X-Expected-Instance") != Identity.Id)
      return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
             Identity.Id + "\r\n" + Echo + "Content-Length: 0\r\n\r\n";
    if (OnArrival)
      OnArrival(Request);
    Record.write("run " + Id + " at " + Identity.Id + ": " + Request.StartLine);
    std::this_thread::sleep_for(WorkTime);
    const int Status = Outcome ? Outcome(Request) : 200;
    const std::string Body = Status == 200 ? "record of " + Id : "failed " + Id;
    const std::string Head =
        "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Echo +
        "X-Server-Stamp: " + Identity.Id + "." + Id +
        "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    return Request.StartLine.starts_with("HEAD ") ? Head : Head + Body;
  }

  static constexpr milliseconds WorkTime{20};

  identity Identity;
  object_store &Store;
  case_record &Record;
  outcome Outcome;
  arrival_handler OnArrival;
  tcp_server Server;
};

} // namespace review
