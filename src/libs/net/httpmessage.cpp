#include "net/httpmessage.h"

#include <strings.h>

#include <algorithm>

namespace jackdawlead::net {

namespace {

auto findField(const std::vector<Headers::Field> &fields, std::string_view name)
{
    return std::ranges::find_if(fields, [name](const Headers::Field &field) {
        return field.first.size() == name.size()
            && strncasecmp(field.first.data(), name.data(), name.size()) == 0;
    });
}

} // namespace

void Headers::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::string Headers::value(std::string_view name) const
{
    const auto found = findField(m_fields, name);
    return found == m_fields.end() ? std::string() : found->second;
}

bool Headers::contains(std::string_view name) const
{
    return findField(m_fields, name) != m_fields.end();
}

void Headers::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const Field &field) {
        return field.first.size() == name.size()
            && strncasecmp(field.first.data(), name.data(), name.size()) == 0;
    });
}

void Headers::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

} // namespace jackdawlead::net
