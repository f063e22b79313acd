#pragma once

#include "platform/objectstoreclient.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// The names and revisions of the objects of one kind, to tell what changed between two lists when
/// the store has forgotten the history in between. Thread safety: one thread at a time.
class ObjectIndex
{
public:
    /// Takes a list of the whole kind and returns what changed since the last list and its events.
    std::vector<platform::ObjectEvent>
    replaceAll(const std::vector<platform::StoredObject> &objects);
    void applyEvents(const std::vector<platform::ObjectEvent> &events);

private:
    std::unordered_map<std::string, platform::Revision> m_revisions;
};

} // namespace jackdawlead::gateway
