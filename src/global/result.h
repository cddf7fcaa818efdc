#pragma once

#include "global/types/failure.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

namespace tarragon {

/// A value or a numbered failure. Reading the wrong side ends the process.
template <class Value>
using result =
    boost::outcome_v2::basic_result<Value, failure,
                                    boost::outcome_v2::policy::terminate>;

/// The value of an operation that only succeeds or fails.
inline auto succeed() { return boost::outcome_v2::success(); }

/// A failure with its code and one sentence of detail.
inline auto fail(const result_code Code, std::string Detail) -> failure {
  return failure{Code, std::move(Detail)};
}

} // namespace tarragon
