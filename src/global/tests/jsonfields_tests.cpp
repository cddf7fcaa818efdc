#include "global/jsonfields.h"

#include <boost/test/unit_test.hpp>
#include <json/json.h>

#include <random>

using namespace tarragon;

namespace {

const json_fields Fields{{"a", "b", "c"}, 8, 4};

auto codeOf(const std::string &Text) -> result_code {
  const auto Read = readJsonFields(Text, Fields);
  return Read ? result_code::Ok : Read.error().Code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(jsonfields)

BOOST_AUTO_TEST_CASE(named_members_are_read_and_others_skipped) {
  const auto Read = readJsonFields(
      R"( {"a":"x\u0079", "other":{"a":[1,{"b":2}]}, "b":-3,"long":"123456789",
"c":1.5,"last":[[]]} )",
      Fields);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read.value().size() == 3U);
  BOOST_TEST(Read.value()["a"].asString() == "xy");
  BOOST_TEST(Read.value()["b"].asInt64() == -3);
  BOOST_TEST(Read.value()["c"].asDouble() == 1.5);
  BOOST_TEST(readJsonFields("{}", Fields).value().empty());
  BOOST_TEST(readJsonFields(R"({"a":null})", Fields).value()["a"].isNull());
  BOOST_TEST(readJsonFields(R"({"a":18446744073709551615})", Fields)
                 .value()["a"]
                 .isUInt64());
}

BOOST_AUTO_TEST_CASE(unusable_members_are_rejected) {
  for (const std::string Text :
       {R"({"a":[]})", R"({"a":{}})", R"({"a":1,"a":1})",
        R"({"\u0061":1,"a":2})", R"({"a":"123456789"})"})
    BOOST_TEST((codeOf(Text) == result_code::MalformedRequest));
  BOOST_TEST((codeOf(R"({"a":"12345678"})") == result_code::Ok));
  BOOST_TEST((codeOf(R"({"x":[[[]]]})") == result_code::Ok));
  BOOST_TEST((codeOf(R"({"x":[[[[]]]]})") == result_code::TooDeep));
}

BOOST_AUTO_TEST_CASE(text_that_is_no_object_is_rejected) {
  for (const std::string Text :
       {"", "null", "1", "\"a\"", "[]", "[1]", "{", "{\"a\":}", "{\"a\":1,}",
        "{a:1}", "{}x", "{\"x\":1e999}", "{\"x\":\"\xff\"}", "{\"x\":01}",
        "{\"x\":nonsense}", "{\"x\":\"\\ud800\"}", "{/**/}"})
    BOOST_TEST((codeOf(Text) == result_code::MalformedRequest), Text);
}

BOOST_AUTO_TEST_CASE(deep_nesting_needs_no_stack) {
  const std::string Open(4000000, '[');
  BOOST_TEST((codeOf("{\"x\":" + Open) == result_code::TooDeep));
}

BOOST_AUTO_TEST_CASE(corrupted_text_does_not_crash) {
  std::mt19937_64 Random(17);
  const std::string Good =
      R"({"a":"x","x":{"y":[1,2.5,"z\n"]},"b":-7,"c":true})";
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = Good;
    for (int Change = 0; Change < 3; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    static_cast<void>(codeOf(Text));
  }
}

BOOST_AUTO_TEST_SUITE_END()
