#include "route/recordmerge.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using tarragon::route::mergeGreatest;
using tarragon::route::RecordBytes;

namespace {

/// A reference implementation that sorts all records and truncates.
auto mergeBySorting(const std::vector<std::string> &Parts,
                    const std::size_t MaxRecords) -> std::string {
  std::vector<std::string> Records;
  for (const std::string &Part : Parts)
    for (std::size_t At = 0; At + RecordBytes <= Part.size(); At += RecordBytes)
      Records.push_back(Part.substr(At, RecordBytes));
  std::sort(Records.rbegin(), Records.rend());
  std::string Merged;
  for (std::size_t Index = 0; Index < std::min(MaxRecords, Records.size());
       ++Index)
    Merged += Records[Index];
  return Merged;
}

auto randomPart(std::mt19937_64 &Random) -> std::string {
  std::string Part(Random() % 200, '\0');
  // Two byte values, one above 0x7f, so that equal records and signedness
  // faults occur.
  for (char &Byte : Part)
    Byte = static_cast<char>(Random() % 2 ? 0xff : 0x01);
  return Part;
}

} // namespace

BOOST_AUTO_TEST_SUITE(recordmerge)

BOOST_AUTO_TEST_CASE(matches_the_reference_implementation_on_random_parts) {
  std::mt19937_64 Random(5);
  for (int Round = 0; Round < 2000; ++Round) {
    std::vector<std::string> Parts(Random() % 12);
    for (std::string &Part : Parts)
      Part = randomPart(Random);
    const std::vector<std::string_view> Views(Parts.begin(), Parts.end());
    const std::size_t MaxRecords = Random() % 60;
    BOOST_REQUIRE(mergeGreatest(Views, MaxRecords) ==
                  mergeBySorting(Parts, MaxRecords));
  }
}

BOOST_AUTO_TEST_CASE(an_incomplete_record_is_ignored_and_bytes_are_unsigned) {
  const std::string Low(16, '\x7f');
  const std::string High(16, '\x80');
  const std::string Part = Low + High + std::string(15, '\xff');
  BOOST_TEST(mergeGreatest({Part}, 5) == High + Low);
}

BOOST_AUTO_TEST_SUITE_END()
