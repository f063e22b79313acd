#pragma once

#include "fleet/customer.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <vector>

namespace jackdawlead::platform {

/// The customers of a configuration. Their keys are held as digests.
struct DecodedCustomers
{
    std::vector<fleet::Customer> customers;
    std::size_t longestKeyBytes = 0; ///< No key is longer.
};

/// Decodes the list of customers in the spec of `config/main`. Errors: the list or a field has the
/// wrong type or is out of range, a name or a key is missing, empty or used by two customers. A
/// list with an error is rejected as a whole, because a customer that was left out would lose its
/// service. The message names the path of the field, never its value. Thread safety: any thread.
absl::StatusOr<DecodedCustomers> decodeCustomers(const nlohmann::json &list);

} // namespace jackdawlead::platform
