#include "decisions/customers/customerkeys.h"

#include <algorithm>

namespace jackdawlead::decisions::customers {

namespace {

const core::KeyDigest &digestOf(const std::pair<core::KeyDigest, const fleet::Customer *> &entry)
{
    return entry.first;
}

} // namespace

CustomerKeys::CustomerKeys(const std::vector<fleet::Customer> &customers)
{
    for (const fleet::Customer &customer : customers) {
        for (const core::KeyDigest &key : customer.keys)
            m_entries.emplace_back(key, &customer);
    }
    std::ranges::sort(m_entries, {}, digestOf);
}

const fleet::Customer *CustomerKeys::find(const core::KeyDigest &key) const
{
    const auto found = std::ranges::lower_bound(m_entries, key, {}, digestOf);
    return found != m_entries.end() && found->first == key ? found->second : nullptr;
}

} // namespace jackdawlead::decisions::customers
