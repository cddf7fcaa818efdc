#include "global/deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <array>

namespace tarragon {

namespace {

namespace zlib = boost::beast::zlib;

constexpr std::size_t PieceBytes = 16384;

} // namespace

auto deflated(const std::string_view Bytes) -> std::string {
  zlib::deflate_stream Stream;
  std::string Out(Stream.upper_bound(Bytes.size()), '\0');
  zlib::z_params Step;
  Step.next_in = Bytes.data();
  Step.avail_in = Bytes.size();
  Step.next_out = Out.data();
  Step.avail_out = Out.size();
  boost::system::error_code End;
  Stream.write(Step, zlib::Flush::finish, End);
  Out.resize(Step.total_out);
  return Out;
}

auto inflated(const std::string_view Bytes, const std::size_t MostBytes)
    -> result<std::string> {
  zlib::inflate_stream Stream;
  zlib::z_params Step;
  Step.next_in = Bytes.data();
  Step.avail_in = Bytes.size();
  std::string Out;
  std::array<char, PieceBytes> Piece{};
  boost::system::error_code Error;
  while (!Error) {
    Step.next_out = Piece.data();
    Step.avail_out = Piece.size();
    Stream.write(Step, zlib::Flush::sync, Error);
    Out.append(Piece.data(), Piece.size() - Step.avail_out);
    if (Out.size() > MostBytes)
      return fail(result_code::MalformedRequest, "deflated text is too long");
  }
  if (Error != zlib::error::end_of_stream)
    return fail(result_code::MalformedRequest, "deflated text is broken");
  return Out;
}

} // namespace tarragon
