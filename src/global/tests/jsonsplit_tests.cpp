#include "global/jsonsplit.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace tarragon;

BOOST_AUTO_TEST_SUITE(jsonsplit)

BOOST_AUTO_TEST_CASE(members_and_elements_are_found) {
  const auto Object =
      splitJson(R"( {"a" : [1,{"b":2}], "c":"x,}\"" ,"d":{}} )");
  BOOST_REQUIRE(Object.has_value());
  BOOST_REQUIRE(Object.value().size() == 3U);
  BOOST_TEST(findMember(Object.value(), "a") == R"([1,{"b":2}])");
  BOOST_TEST(findMember(Object.value(), "c") == R"("x,}\"")");
  BOOST_TEST(findMember(Object.value(), "d") == "{}");
  BOOST_TEST(findMember(Object.value(), "e").empty());
  const auto Array = splitJson("[1 , [2,3],null]");
  BOOST_REQUIRE(Array.has_value());
  BOOST_REQUIRE(Array.value().size() == 3U);
  BOOST_TEST(Array.value()[0].Value == "1");
  BOOST_TEST(splitJson("{}").value().empty());
  BOOST_TEST(splitJson("[ ]").value().empty());
}

BOOST_AUTO_TEST_CASE(malformed_text_is_rejected) {
  for (const std::string Text :
       {"", " ", "1", "{", "[", "[1", "[1,", "[1,]", "{\"a\"}", "{\"a\":}",
        "{a:1}", "[1]x", "[1}", "{\"a\":1]", "[\"a]", "{\"a\":[}", "[]]",
        "{\"a\\"})
    BOOST_TEST(!splitJson(Text).has_value());
}

BOOST_AUTO_TEST_CASE(deep_nesting_needs_no_stack) {
  constexpr std::size_t Depth = 4000000;
  const std::string Text =
      "[" + std::string(Depth, '[') + std::string(Depth, ']') + ",2]";
  const auto Split = splitJson(Text);
  BOOST_REQUIRE(Split.has_value());
  BOOST_TEST(Split.value().size() == 2U);
}

BOOST_AUTO_TEST_CASE(corrupt_bytes_do_not_crash) {
  std::mt19937_64 Random(61);
  const std::string Valid = R"({"a":[1,{"b":"x\\"}],"c":"d","e":-1.5e3})";
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = Valid;
    for (int Change = 0; Change < 3; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    Text.resize(Random() % Text.size()); // the members refer to it
    if (const auto Split = splitJson(Text))
      for (const json_member &Member : Split.value())
        static_cast<void>(splitJson(Member.Value));
  }
}

BOOST_AUTO_TEST_SUITE_END()
