#pragma once

#include "global/resultcode.h"
#include "query/internal/partset.h"
#include "world/types/contract.h"
#include "world/types/coverage.h"

#include <string>
#include <vector>

namespace tarragon::query {

/// The code of a finished query and one sentence when it isn't Ok.
struct answer_code {
  result_code Code = result_code::Internal;
  std::string Detail;
};

/// Decides the code from what became of every part. \p EarlierMayHaveRun tells
/// of tries at a snapshot given up before. Never a not-run code unless every
/// try of every part is proven not run.
auto decideCode(const contract &Contract, const part_set &Parts,
                const coverage &Coverage, bool EarlierMayHaveRun)
    -> answer_code;

} // namespace tarragon::query
