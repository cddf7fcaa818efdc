#include "global/deflate.h"

#include <zlib.h>

#include <array>

namespace tarragon {

namespace {

constexpr std::size_t ChunkBytes = 16384;
/// A window of 2^15 bytes; negative selects raw deflate, without the zlib
/// header and checksum.
constexpr int RawWindowBits = -15;
constexpr int MemoryLevel = 8;

/// Returns a stream that reads from \p Bytes. zlib takes the input as a pointer
/// to non-const.
auto makeInputStream(const std::string_view Bytes) -> z_stream {
  z_stream Stream{};
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): zlib only reads.
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  return Stream;
}

/// Calls \p Step and appends its output to \p Output until it returns another
/// code than Z_OK or \p Output exceeds \p MaxBytes. Returns the last code of
/// zlib.
template <class Function>
auto collect(z_stream &Stream, const std::size_t MaxBytes, Function Step,
             std::string &Output) -> int {
  std::array<Bytef, ChunkBytes> Chunk{};
  int Code = Z_OK;
  while (Code == Z_OK && Output.size() <= MaxBytes) {
    Stream.next_out = Chunk.data();
    Stream.avail_out = static_cast<uInt>(Chunk.size());
    Code = Step(Stream);
    Output.append(reinterpret_cast<const char *>(Chunk.data()),
                  Chunk.size() - Stream.avail_out);
  }
  return Code;
}

} // namespace

auto deflateBytes(const std::string_view Bytes) -> std::string {
  z_stream Stream = makeInputStream(Bytes);
  std::string Output;
  if (deflateInit2(&Stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, RawWindowBits,
                   MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    return Output;
  collect(
      Stream, Output.max_size(),
      [](z_stream &Step) { return deflate(&Step, Z_FINISH); }, Output);
  deflateEnd(&Stream);
  return Output;
}

auto inflateBytes(const std::string_view Bytes, const std::size_t MaxBytes)
    -> result<std::string> {
  z_stream Stream = makeInputStream(Bytes);
  std::string Output;
  if (inflateInit2(&Stream, RawWindowBits) != Z_OK)
    return fail(result_code::MalformedRequest,
                "zlib can't be initialised to inflate");
  const int Code = collect(
      Stream, MaxBytes,
      [](z_stream &Step) { return inflate(&Step, Z_NO_FLUSH); }, Output);
  inflateEnd(&Stream);
  if (Output.size() > MaxBytes)
    return fail(result_code::MalformedRequest,
                "deflated text exceeds the size limit");
  if (Code != Z_STREAM_END)
    return fail(result_code::MalformedRequest,
                "deflated text is corrupt or incomplete");
  return Output;
}

} // namespace tarragon
