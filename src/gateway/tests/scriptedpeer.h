#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::gateway {

/// Runs \p Loop until \p Done returns true; returns false if it hangs.
auto runUntil(boost::asio::io_context &Loop, const std::function<bool()> &Done)
    -> bool;

/// A server that answers each request with the bytes that a script returns.
class scripted_server {
public:
  /// The reaction to one request.
  struct reaction {
    std::string Bytes;
    bool Close = false; ///< close the connection after the bytes
    bool Reset = false; ///< reset the connection after the bytes
    std::string Pour;   ///< repeated after the bytes until the caller closes
  };
  using script = std::function<reaction(const std::string &Request)>;

  scripted_server(boost::asio::io_context &Loop, script Script);

  auto endpoint() const -> boost::asio::ip::tcp::endpoint;

  /// Closes the port; open connections stay.
  auto stopListening() -> void;

  /// Returns the complete requests received so far.
  auto requests() const -> const std::vector<std::string> & { return Requests; }
  /// Returns the number of connections closed by the other side.
  auto endedByPeer() const -> int { return EndedByPeer; }
  auto accepted() const -> int { return Accepted; }
  /// Returns the bytes poured so far.
  auto poured() const -> std::size_t { return Poured; }

private:
  struct connection;

  auto accept() -> void;
  auto read(const std::shared_ptr<connection> &Connection) -> void;
  auto react(const std::shared_ptr<connection> &Connection) -> void;
  auto pour(const std::shared_ptr<connection> &Connection) -> void;

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  script Script;
  std::vector<std::string> Requests;
  int EndedByPeer = 0;
  std::size_t Poured = 0;
  int Accepted = 0;
};

/// A caller that sends bytes and collects the received ones. Copies share the
/// connection.
class scripted_caller {
public:
  scripted_caller(boost::asio::io_context &Loop,
                  const boost::asio::ip::tcp::endpoint &Server);

  auto send(const std::string &Bytes) -> void;
  auto close() -> void;

  auto received() const -> const std::string & { return *Received; }
  auto ended() const -> bool { return *Ended; }

private:
  auto read() -> void;

  std::shared_ptr<boost::asio::ip::tcp::socket> Socket;
  std::shared_ptr<std::array<char, 4096>> Buffer;
  std::shared_ptr<std::string> Received;
  std::shared_ptr<bool> Ended;
};

} // namespace tarragon::gateway
