#define BOOST_TEST_MODULE global
#include <boost/test/unit_test.hpp>

#include <random>

#include "global/deflate.h"
#include "global/hash.h"
#include "global/internal/linerate.h"
#include "global/log.h"
#include "global/resultcode.h"

#include <fstream>
#include <sstream>

namespace {

auto readPage(const std::string &Name) -> std::string {
  std::ifstream File(std::string(TARRAGON_SOURCE_DIR) + "/docs/" + Name);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(result_page_holds_every_code_and_no_other) {
  const std::string Page = readPage("RESULT_CODES.md");
  std::size_t Rows = 0;
  for (const auto &Row : tarragon::resultTable()) {
    std::ostringstream Line;
    Line << "| " << static_cast<int>(Row.Code) << " | `" << Row.Name << "` | "
         << Row.HttpStatus << " | " << Row.Meaning << " |\n";
    BOOST_TEST(Page.find(Line.str()) != std::string::npos, Line.str());
    ++Rows;
  }
  std::size_t PageRows = 0;
  for (std::size_t At = Page.find("\n| "); At != std::string::npos;
       At = Page.find("\n| ", At + 1))
    ++PageRows;
  BOOST_TEST(PageRows == Rows + 2); // the head and its rule
}

BOOST_AUTO_TEST_CASE(numbers_ascend_and_round_trip) {
  int Last = -1;
  for (const auto &Row : tarragon::resultTable()) {
    const int Number = static_cast<int>(Row.Code);
    BOOST_TEST(Number > Last);
    Last = Number;
    BOOST_TEST((tarragon::resultFromNumber(Number) == Row.Code));
    const bool Named = Row.Name.starts_with("not_run");
    BOOST_TEST(tarragon::isNotRun(Row.Code) == Named);
  }
  BOOST_TEST(!tarragon::resultFromNumber(9999).has_value());
}

BOOST_AUTO_TEST_CASE(hashes_are_stable) {
  BOOST_TEST(tarragon::hash64("a") == tarragon::hash64("a"));
  BOOST_TEST(tarragon::hash64("a") != tarragon::hash64("a", 1));
  BOOST_TEST(tarragon::contentHash("x").size() == 32U);
}

BOOST_AUTO_TEST_SUITE(deflating)

BOOST_AUTO_TEST_CASE(what_is_deflated_comes_back) {
  std::string Text;
  for (int Line = 0; Line < 5000; ++Line)
    Text += "{\"name\":\"i-" + std::to_string(Line * 7919) + "\"}";
  const std::string Small = tarragon::deflated(Text);
  BOOST_TEST(Small.size() * 3 < Text.size());
  BOOST_TEST(tarragon::inflated(Small, Text.size()).value() == Text);
  BOOST_TEST(tarragon::inflated(tarragon::deflated(""), 10).value().empty());
}

// Another implementation of deflate lost the end of some texts.
BOOST_AUTO_TEST_CASE(texts_of_any_length_come_back) {
  std::mt19937 Random(1);
  int Lost = 0;
  for (std::size_t Length = 0; Length < 70000;
       Length += Length < 2000 ? 1 : 137) {
    std::string Text;
    for (std::size_t At = 0; At < Length; ++At)
      Text += static_cast<char>('a' + Random() % (Length % 26 + 1));
    const auto Back = tarragon::inflated(tarragon::deflated(Text), Text.size());
    Lost += Back && Back.value() == Text ? 0 : 1;
  }
  BOOST_TEST(Lost == 0);
}

BOOST_AUTO_TEST_CASE(broken_and_too_long_texts_are_refused) {
  const std::string Small = tarragon::deflated(std::string(100000, 'x'));
  BOOST_TEST(!tarragon::inflated(Small, 99999).has_value());
  BOOST_TEST(!tarragon::inflated(Small.substr(0, 20), 100000).has_value());
  BOOST_TEST(!tarragon::inflated("no such thing", 100000).has_value());
  BOOST_TEST(!tarragon::inflated("", 100000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(logging)

// A warning beyond the rate once told of dropped lines by way of itself,
// without end.
BOOST_AUTO_TEST_CASE(a_burst_of_lines_is_bounded_and_counted) {
  tarragon::log::setUp(tarragon::log::level::Info, tarragon::log::format::Json);
  tarragon::log::setRate(5);
  const auto Before = tarragon::log::dropped();
  for (int Line = 0; Line < 100; ++Line)
    tarragon::log::write(tarragon::log::level::Info, tarragon::log::part::Tool,
                         "one of many");
  BOOST_TEST(tarragon::log::dropped() - Before >= 90);
  for (int Line = 0; Line < 3; ++Line)
    tarragon::log::write(tarragon::log::level::Warning,
                         tarragon::log::part::Tool, "urgent");
}

BOOST_AUTO_TEST_CASE(room_comes_back_with_time) {
  tarragon::log::internal::line_rate Rate(10);
  const tarragon::time_point Start{std::chrono::hours(1)};
  for (int Line = 0; Line < 10; ++Line)
    BOOST_TEST(Rate.take(Start));
  BOOST_TEST(!Rate.take(Start));
  BOOST_TEST(Rate.take(Start + std::chrono::milliseconds(150)));
  BOOST_TEST(Rate.takeRefused() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
