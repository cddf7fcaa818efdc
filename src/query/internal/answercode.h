#pragma once

#include "global/resultcode.h"
#include "query/internal/partset.h"
#include "world/types/contract.h"
#include "world/types/coverage.h"

#include <string>
#include <vector>

namespace tarragon::query {

/// The result code of a finished query and a one-sentence detail text, which is
/// empty for Ok.
struct answer_code {
  result_code Code = result_code::Internal;
  std::string Detail;
};

/// Decides the result code from the outcomes of all parts.
/// \p EarlierRoundMayHaveRun: some try of an abandoned snapshot may have run.
/// Returns a not-run code only if every try of every part is proven not run.
auto decideCode(const contract &Contract, const part_set &Parts,
                const coverage &Coverage, bool EarlierRoundMayHaveRun)
    -> answer_code;

} // namespace tarragon::query
