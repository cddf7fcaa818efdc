#include "global/deflate.h"

#include <zlib.h>

#include <array>

namespace tarragon {

namespace {

constexpr std::size_t PieceBytes = 16384;
/// Raw deflate, without a header and a checksum.
constexpr int RawWindow = -15;
constexpr int MemoryLevel = 8;

/// What zlib reads from; it takes the bytes as not constant.
auto inputOf(const std::string_view Bytes) -> z_stream {
  z_stream Stream{};
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): zlib only reads.
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  return Stream;
}

/// Calls \p Step until it no longer succeeds or gave more than \p MostBytes.
template <class Function>
auto collect(z_stream &Stream, const std::size_t MostBytes, Function Step,
             std::string &Out) -> int {
  std::array<Bytef, PieceBytes> Piece{};
  int End = Z_OK;
  while (End == Z_OK && Out.size() <= MostBytes) {
    Stream.next_out = Piece.data();
    Stream.avail_out = static_cast<uInt>(Piece.size());
    End = Step(Stream);
    Out.append(reinterpret_cast<const char *>(Piece.data()),
               Piece.size() - Stream.avail_out);
  }
  return End;
}

} // namespace

auto deflated(const std::string_view Bytes) -> std::string {
  z_stream Stream = inputOf(Bytes);
  std::string Out;
  if (deflateInit2(&Stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, RawWindow,
                   MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    return Out;
  collect(
      Stream, Out.max_size(),
      [](z_stream &Step) { return deflate(&Step, Z_FINISH); }, Out);
  deflateEnd(&Stream);
  return Out;
}

auto inflated(const std::string_view Bytes, const std::size_t MostBytes)
    -> result<std::string> {
  z_stream Stream = inputOf(Bytes);
  std::string Out;
  if (inflateInit2(&Stream, RawWindow) != Z_OK)
    return fail(result_code::MalformedRequest, "no memory to inflate");
  const int End = collect(
      Stream, MostBytes,
      [](z_stream &Step) { return inflate(&Step, Z_NO_FLUSH); }, Out);
  inflateEnd(&Stream);
  if (Out.size() > MostBytes)
    return fail(result_code::MalformedRequest, "deflated text is too long");
  if (End != Z_STREAM_END)
    return fail(result_code::MalformedRequest, "deflated text is broken");
  return Out;
}

} // namespace tarragon
