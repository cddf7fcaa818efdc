#include "gateway/internal/answerwriter.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace tarragon::gateway::internal {

namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 10> HopByHopHeaders{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "trailer",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
    "content-length"};

auto equal(const std::string_view Left, const std::string_view Right) -> bool {
  return beast::iequals({Left.data(), Left.size()},
                        {Right.data(), Right.size()});
}

auto reasonOf(const caller_answer &Answer) -> std::string {
  if (!Answer.Reason.empty())
    return Answer.Reason;
  return std::string(beast::http::obsolete_reason(
      static_cast<beast::http::status>(Answer.Status)));
}

auto appendField(std::string &Bytes, const std::string_view Name,
                 const std::string_view Value) -> void {
  Bytes += Name;
  Bytes += ": ";
  Bytes += Value;
  Bytes += "\r\n";
}

} // namespace

auto isHopByHop(const std::string_view Name) -> bool {
  return std::any_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [&](const std::string_view Known) { return equal(Known, Name); });
}

auto forwardedHeaders(const header_fields &Fields) -> header_fields {
  std::vector<std::string> ConnectionTokens;
  for (const header_field &Field : Fields)
    if (equal(Field.Name, "connection"))
      for (const auto Token : beast::http::token_list{Field.Value})
        ConnectionTokens.emplace_back(Token);
  header_fields Forwarded;
  for (const header_field &Field : Fields) {
    const bool IsListed = std::any_of(
        ConnectionTokens.begin(), ConnectionTokens.end(),
        [&](const std::string &Name) { return equal(Name, Field.Name); });
    if (!IsListed && !isHopByHop(Field.Name))
      Forwarded.push_back(Field);
  }
  return Forwarded;
}

auto writeAnswer(const caller_answer &Answer, const bool CloseAfter)
    -> std::string {
  std::string Bytes = "HTTP/1.1 " + std::to_string(Answer.Status) + ' ' +
                      reasonOf(Answer) + "\r\n";
  for (const header_field &Field : Answer.Headers)
    if (!isHopByHop(Field.Name))
      appendField(Bytes, Field.Name, Field.Value);
  const bool HasNoBody = Answer.Status == 204 || Answer.Status == 304;
  if (!HasNoBody && !Answer.BodyOmitted)
    appendField(Bytes, "Content-Length", std::to_string(Answer.Body.size()));
  if (!HasNoBody && Answer.BodyOmitted && !Answer.OmittedLength.empty())
    appendField(Bytes, "Content-Length", Answer.OmittedLength);
  if (CloseAfter)
    appendField(Bytes, "Connection", "close");
  Bytes += "\r\n";
  if (!HasNoBody && !Answer.BodyOmitted)
    Bytes += Answer.Body;
  return Bytes;
}

auto secondsText(const milliseconds Time) -> std::string {
  return std::to_string(std::chrono::duration<double>(Time).count());
}

auto parseSeconds(const std::string_view Text) -> std::optional<milliseconds> {
  constexpr double MaxSeconds = 600;
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  const auto Read =
      std::from_chars(Text.data(), End, Seconds, std::chars_format::fixed);
  const bool IsTooLarge = Read.ec == std::errc::result_out_of_range;
  if ((Read.ec != std::errc() && !IsTooLarge) || Read.ptr != End ||
      Text.front() == '-' || !std::isfinite(Seconds))
    return std::nullopt;
  const double Bounded =
      IsTooLarge ? MaxSeconds : std::min(Seconds, MaxSeconds);
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(Bounded));
}

} // namespace tarragon::gateway::internal
