#include "store/tests/scriptedserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace tarragon::store {

namespace {

/// Returns the length of the complete request, or 0 while its head is
/// incomplete.
auto requestLength(const std::string &Text) -> std::size_t {
  const auto HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return 0;
  const std::string Name = "Content-Length: ";
  const auto Found = Text.find(Name);
  const std::size_t BodyLength =
      Found < HeadEnd ? std::stoul(Text.substr(Found + Name.size())) : 0;
  return HeadEnd + 4 + BodyLength;
}

} // namespace

scripted_server::scripted_server(std::vector<std::string> Replies)
    : Replies(std::move(Replies)),
      Listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  auto *const GenericAddress = reinterpret_cast<sockaddr *>(&Address);
  if (bind(Listener, GenericAddress, Length) != 0 || listen(Listener, 8) != 0 ||
      getsockname(Listener, GenericAddress, &Length) != 0)
    throw std::runtime_error("can't listen on a loopback port");
  Port = ntohs(Address.sin_port);
  Thread = std::thread([this] { serve(); });
}

scripted_server::~scripted_server() {
  shutdown(Listener, SHUT_RDWR);
  Thread.join();
  close(Listener);
}

auto scripted_server::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

auto scripted_server::requests() const -> std::vector<std::string> {
  const std::lock_guard Guard(Lock);
  return Requests;
}

auto scripted_server::serve() -> void {
  for (const std::string &Reply : Replies) {
    const int Connection = accept(Listener, nullptr, nullptr);
    if (Connection < 0)
      return;
    respond(Connection, Reply);
    close(Connection);
  }
}

auto scripted_server::respond(const int Connection, const std::string &Reply)
    -> void {
  std::string Request;
  std::array<char, 4096> Buffer{};
  while (requestLength(Request) == 0 ||
         Request.size() < requestLength(Request)) {
    const auto ReceivedBytes =
        recv(Connection, Buffer.data(), Buffer.size(), 0);
    if (ReceivedBytes <= 0)
      return;
    Request.append(Buffer.data(), static_cast<std::size_t>(ReceivedBytes));
  }
  {
    const std::lock_guard Guard(Lock);
    Requests.push_back(std::move(Request));
  }
  if (!Reply.empty())
    static_cast<void>(
        send(Connection, Reply.data(), Reply.size(), MSG_NOSIGNAL));
}

auto httpReply(const int Status, const std::string &Body) -> std::string {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nConnection: close\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace tarragon::store
