#pragma once

#include "global/types/failure.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

namespace tarragon {

/// A value or a failure. Accessing the alternative that it doesn't hold
/// terminates the process.
template <class Value>
using result =
    boost::outcome_v2::basic_result<Value, failure,
                                    boost::outcome_v2::policy::terminate>;

/// Returns the success value of a result<void>.
inline auto succeed() { return boost::outcome_v2::success(); }

/// Returns a failure with \p Code and one sentence of detail.
inline auto fail(const result_code Code, std::string Detail) -> failure {
  return failure{Code, std::move(Detail)};
}

} // namespace tarragon
