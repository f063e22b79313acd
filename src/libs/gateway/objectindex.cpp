#include "gateway/objectindex.h"

#include <utility>

namespace jackdawlead::gateway {

std::vector<platform::ObjectEvent>
ObjectIndex::replaceAll(const std::vector<platform::StoredObject> &objects)
{
    std::vector<platform::ObjectEvent> events;
    auto previous = std::exchange(m_positions, {});
    for (const platform::StoredObject &object : objects) {
        const auto known = previous.find(object.name);
        if (known == previous.end() || known->second != object.position)
            events.push_back({object, false});
        if (known != previous.end())
            previous.erase(known);
        m_positions[object.name] = object.position;
    }
    for (const auto &[name, position] : previous)
        events.push_back({{name, position, {}}, true});
    return events;
}

void ObjectIndex::applyEvents(const std::vector<platform::ObjectEvent> &events)
{
    for (const platform::ObjectEvent &event : events) {
        if (event.isRemoved)
            m_positions.erase(event.object.name);
        else
            m_positions[event.object.name] = event.object.position;
    }
}

} // namespace jackdawlead::gateway
