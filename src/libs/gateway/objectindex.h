#pragma once

#include "platform/objectstoreclient.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// Names and positions of the objects of one kind. Finds the changes between two lists when the
/// store no longer has the history in between. Thread safety: one thread at a time.
class ObjectIndex
{
public:
    /// Replaces the index by a complete list and returns the changes since the previous state.
    std::vector<platform::ObjectEvent>
    replaceAll(const std::vector<platform::StoredObject> &objects);
    void applyEvents(const std::vector<platform::ObjectEvent> &events);

private:
    std::unordered_map<std::string, core::StorePosition> m_positions;
};

} // namespace jackdawlead::gateway
