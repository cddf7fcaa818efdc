#include "query/internal/continuationtoken.h"

#include "global/hash.h"

#include <charconv>

namespace tarragon::query {

namespace {

constexpr std::size_t MaxShardsPerService = 65536;

auto appendNumber(std::string &Text, const std::uint64_t Number) -> void {
  Text += std::to_string(Number);
  Text += '.';
}

/// Parses a decimal number that ends at a dot and removes both from the front
/// of \p Text. Returns nothing if there is none.
auto consumeNumber(std::string_view &Text) -> std::optional<std::uint64_t> {
  std::uint64_t Number = 0;
  const char *const End = Text.data() + Text.size();
  const auto [At, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc{} || At == End || *At != '.')
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(At - Text.data()) + 1);
  return Number;
}

auto checksum(const std::string_view Fields, const contract &Contract,
              const query_request &Request) -> std::uint64_t {
  std::uint64_t Sum = hash64(Fields);
  Sum = hash64(Contract.Id, Sum);
  Sum = hash64(Request.Key, Sum);
  return hash64(Request.Body, Sum);
}

auto readFields(std::string_view Fields, const contract &Contract)
    -> std::optional<continuation_token> {
  continuation_token Token;
  const auto Version = consumeNumber(Fields);
  const auto Offset = consumeNumber(Fields);
  if (!Version || !Offset || *Offset == 0 || *Offset > MaxOffset)
    return std::nullopt;
  Token.Snapshot.Version = *Version;
  Token.Offset = static_cast<std::size_t>(*Offset);
  for (const service_id &Service : Contract.Services) {
    const auto Shards = consumeNumber(Fields);
    if (!Shards || *Shards == 0 || *Shards > MaxShardsPerService)
      return std::nullopt;
    Token.Snapshot.ShardCounts[Service] = static_cast<std::size_t>(*Shards);
  }
  if (!Fields.empty())
    return std::nullopt;
  return Token;
}

} // namespace

auto formatToken(const continuation_token &Token, const contract &Contract,
                 const query_request &Request) -> std::string {
  std::string Text;
  appendNumber(Text, Token.Snapshot.Version);
  appendNumber(Text, Token.Offset);
  for (const service_id &Service : Contract.Services)
    appendNumber(Text, Token.Snapshot.ShardCounts.at(Service));
  return Text + std::to_string(checksum(Text, Contract, Request));
}

auto parseToken(const std::string_view Text, const contract &Contract,
                const query_request &Request)
    -> std::optional<continuation_token> {
  const std::size_t LastDot = Text.rfind('.');
  if (LastDot == std::string_view::npos)
    return std::nullopt;
  const std::string_view Fields = Text.substr(0, LastDot + 1);
  if (Text.substr(LastDot + 1) !=
      std::to_string(checksum(Fields, Contract, Request)))
    return std::nullopt;
  return readFields(Fields, Contract);
}

} // namespace tarragon::query
