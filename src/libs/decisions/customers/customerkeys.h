#pragma once

#include "fleet/customer.h"

#include <utility>
#include <vector>

namespace jackdawlead::decisions::customers {

/// Immutable index of the customers by the digests of their keys. Thread safety: any thread.
class CustomerKeys
{
public:
    CustomerKeys() = default;
    /// Preconditions: no key belongs to two customers; the customers outlive the index and keep
    /// their addresses.
    explicit CustomerKeys(const std::vector<fleet::Customer> &customers);

    /// The customer that holds the key; nullptr if none does.
    const fleet::Customer *find(const core::KeyDigest &key) const;

private:
    std::vector<std::pair<core::KeyDigest, const fleet::Customer *>> m_entries; ///< By digest.
};

} // namespace jackdawlead::decisions::customers
