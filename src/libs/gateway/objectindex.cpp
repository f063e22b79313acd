#include "gateway/objectindex.h"

#include <utility>

namespace jackdawlead::gateway {

std::vector<platform::ObjectEvent>
ObjectIndex::replaceAll(const std::vector<platform::StoredObject> &objects)
{
    std::vector<platform::ObjectEvent> events;
    auto previous = std::exchange(m_revisions, {});
    for (const platform::StoredObject &object : objects) {
        const auto known = previous.find(object.name);
        if (known == previous.end() || known->second != object.revision)
            events.push_back({object, false});
        if (known != previous.end())
            previous.erase(known);
        m_revisions[object.name] = object.revision;
    }
    for (const auto &[name, revision] : previous)
        events.push_back({{name, revision, {}}, true});
    return events;
}

void ObjectIndex::applyEvents(const std::vector<platform::ObjectEvent> &events)
{
    for (const platform::ObjectEvent &event : events) {
        if (event.isRemoved)
            m_revisions.erase(event.object.name);
        else
            m_revisions[event.object.name] = event.object.revision;
    }
}

} // namespace jackdawlead::gateway
