#include <boost/test/unit_test.hpp>

#include "config/deploymentfile.h"
#include "config/tests/filetext.h"

#include <array>
#include <random>

using namespace tarragon;
using namespace tarragon::config;

namespace {

constexpr std::uint64_t MutationsPerFile = 1500;

constexpr std::array<std::string_view, 22> Tokens{
    "{",    "}",
    "[",    "]",
    ": ",   "- ",
    "\n",   "\t",
    "&a",   "*a",
    "<<:",  "!!x ",
    "\"",   "'",
    "|\n",  "---\n",
    "?",    "#",
    "-1",   "1e99",
    "\xff", "999999999999999999999"};

/// Applies 1 to 4 random mutations to a text: erases, copies, inserts tokens,
/// overwrites bytes or moves lines.
class mutator {
public:
  explicit mutator(const std::uint64_t Seed) : Random(Seed) {}

  auto mutate(std::string Text) -> std::string {
    const std::size_t Changes = 1 + draw(4);
    for (std::size_t Change = 0; Change < Changes; ++Change)
      changeOnce(Text);
    return Text;
  }

private:
  auto draw(const std::size_t Below) -> std::size_t {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }

  auto changeOnce(std::string &Text) -> void {
    const std::size_t Position = draw(Text.size() + 1);
    const std::size_t Length = draw(60);
    switch (draw(5)) {
    case 0:
      Text.erase(Position, Length);
      return;
    case 1:
      Text.insert(Position, Text.substr(draw(Text.size() + 1), Length));
      return;
    case 2:
      Text.insert(Position, Tokens[draw(Tokens.size())]);
      return;
    case 3:
      if (Position < Text.size())
        Text[Position] = static_cast<char>(draw(256));
      return;
    case 4:
      swapLines(Text);
      return;
    }
  }

  auto swapLines(std::string &Text) -> void {
    const auto First = Text.find('\n', draw(Text.size() + 1));
    if (First == std::string::npos)
      return;
    const auto Second = Text.find('\n', First + 1);
    if (Second == std::string::npos)
      return;
    const std::string Line = Text.substr(First, Second - First);
    Text.erase(First, Second - First);
    Text.insert(Text.find('\n', draw(First + 1)), Line);
  }

  std::mt19937_64 Random;
};

} // namespace

BOOST_AUTO_TEST_CASE(mutated_files_are_parsed_or_refused_with_a_position) {
  std::size_t Valid = 0;
  std::size_t Refused = 0;
  for (const char *const Name :
       {"demo.yaml", "pressleaf.yaml", "authority.yaml"}) {
    const std::string Text = exampleText(Name);
    for (std::uint64_t Seed = 1; Seed <= MutationsPerFile; ++Seed) {
      const auto File = parseDeployment(mutator(Seed).mutate(Text));
      ++(File.Faults.empty() ? Valid : Refused);
      for (const config_fault &Fault : File.Faults)
        if (Fault.Line < 1 || Fault.Column < 1 || Fault.Detail.empty())
          BOOST_ERROR(Name << " seed " << Seed
                           << ": fault without position or detail");
      // Code that uses a valid deployment relies on its references.
      if (File.Faults.empty())
        for (const contract &Contract : File.Deployment.Contracts)
          for (const service_id &Service : Contract.Services)
            BOOST_TEST(File.Deployment.findService(Service) != nullptr);
    }
  }
  BOOST_TEST_MESSAGE("valid " << Valid << ", refused " << Refused);
  BOOST_TEST(Valid > 100U);
  BOOST_TEST(Refused > 1000U);
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused) {
  const std::string Deep(100000, '[');
  BOOST_TEST(!parseDeployment(Deep).Faults.empty());
  std::string Blocks;
  for (int Level = 0; Level < 3000; ++Level)
    Blocks += std::string(static_cast<std::size_t>(Level), ' ') + "a:\n";
  BOOST_TEST(!parseDeployment(Blocks).Faults.empty());
}

BOOST_AUTO_TEST_CASE(expanding_aliases_stop_at_the_fault_limit) {
  std::string Text = "services:\n  - &s {id: s, team: t, index: i, limits: "
                     "{slots: 1, connections: 8}, groups: {a: &t [";
  for (int Target = 0; Target < 1000; ++Target)
    Text += "x d 127.0.0.1:1, ";
  Text += "x d 127.0.0.1:1]";
  for (int Group = 0; Group < 1000; ++Group)
    Text += ", g" + std::to_string(Group) + ": *t";
  Text += "}}\n";
  for (int Service = 0; Service < 1000; ++Service)
    Text += "  - *s\n";
  BOOST_TEST(parseDeployment(Text + "contracts: []\n").Faults.size() == 100U);
}
