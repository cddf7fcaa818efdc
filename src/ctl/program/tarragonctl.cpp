#include "ctl/commandline.h"
#include "ctl/commandrunner.h"
#include "ctl/curlchannel.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace tarragon::ctl {

namespace {

auto readEnvironment(const std::string &Name) -> std::optional<std::string> {
  const char *const Value = std::getenv(Name.c_str());
  return Value == nullptr ? std::nullopt : std::optional<std::string>(Value);
}

auto takesFile(const command Command) -> bool {
  return Command == command::Validate || Command == command::Plan ||
         Command == command::Apply;
}

/// Returns the content of a file, or of standard input when its name is "-".
auto readText(const std::string &Name) -> std::optional<std::string> {
  using characters = std::istreambuf_iterator<char>;
  if (Name == "-")
    return std::string(characters(std::cin), characters());
  std::ifstream File(Name, std::ios::binary);
  std::string Text((characters(File)), characters());
  return File ? std::optional(std::move(Text)) : std::nullopt;
}

auto makeChangeId() -> std::string {
  std::random_device Device;
  std::string Id = "change";
  for (int Part = 0; Part < 4; ++Part)
    Id += "-" + std::to_string(Device());
  return Id;
}

auto usage(const std::string &Sentence) -> exit_code {
  std::cerr << "tarragonctl: " << Sentence << "\n";
  return exit_code::Usage;
}

auto runTool(const std::vector<std::string> &Arguments) -> exit_code {
  auto Options = readCommandLine(Arguments, readEnvironment);
  if (!Options)
    return usage(Options.error().Detail);
  if (Options.value().ChangeId.empty())
    Options.value().ChangeId = makeChangeId();
  std::optional<std::string> Text{std::string{}};
  if (takesFile(Options.value().Command))
    Text = readText(Options.value().File);
  if (!Text)
    return usage("can't read " + Options.value().File);
  curl_channel Link;
  command_runner<curl_channel> Runner(Link, Options.value(),
                                      {std::cout, std::cerr});
  return Runner.run(*Text);
}

} // namespace

} // namespace tarragon::ctl

auto main(const int Count, char **const Arguments) -> int {
  return static_cast<int>(
      tarragon::ctl::runTool({Arguments + 1, Arguments + Count}));
}
