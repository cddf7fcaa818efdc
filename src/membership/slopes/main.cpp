#include "slope.h"

#include <json/json.h>

#include <iostream>

namespace {

auto numbers(const std::vector<double> &Values) -> Json::Value {
  Json::Value Array(Json::arrayValue);
  for (const double Value : Values)
    Array.append(Value);
  return Array;
}

auto toJson(const tarragon::slopes::slope &Slope, const std::string &Date)
    -> Json::Value {
  Json::Value Record;
  Record["name"] = Slope.Name;
  Record["unit"] = Slope.Unit;
  Record["per"] = Slope.Per;
  Record["sizes"] = numbers(Slope.Sizes);
  Record["values"] = numbers(Slope.Values);
  Record["slope"] = Slope.Slope;
  Record["intercept"] = Slope.Intercept;
  Record["residual"] = Slope.Residual;
  Record["date"] = Date;
  return Record;
}

} // namespace

/// Measures all slopes and writes them as JSON. Usage: slopes DATE
auto main(const int Count, char **Arguments) -> int {
  using namespace tarragon::slopes;
  if (Count != 2) {
    std::cerr << "usage: slopes DATE\n";
    return 2;
  }
  Json::Value Records(Json::arrayValue);
  for (const auto &Measure :
       {memberSlopes, messageSlopes, stateSlopes, querySlopes})
    for (const slope &Slope : Measure())
      Records.append(toJson(Slope, Arguments[1]));
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = " ";
  Builder["precision"] = 6;
  std::cout << Json::writeString(Builder, Records) << "\n";
  return 0;
}
