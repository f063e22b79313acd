#include "expectedbytes.h"

#include <functional>

namespace jackdawlead::soak {

std::string expectedBody(const core::RequestId &id)
{
    constexpr std::size_t padding = 300;
    return "answer to " + id.value() + " " + std::string(padding, '.') + " end";
}

std::string expectedEvents(const core::RequestId &id, int from, int to,
                           const std::string &softwareVersion)
{
    std::string text;
    for (int number = from; number <= to; ++number)
        text += "id: " + std::to_string(number) + "\ndata: " + id.value() + " "
            + std::to_string(number) + " " + softwareVersion + "\n\n";
    return text;
}

int countEvents(const std::string &body)
{
    int events = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2))
        ++events;
    return events;
}

std::string softwareVersionOf(const std::string &body)
{
    const std::string first = body.substr(0, body.find("\n\n"));
    return first.substr(first.rfind(' ') + 1);
}

bool isLongStream(const core::RequestId &id)
{
    return id.value().starts_with(longStreamPrefix);
}

int eventCount(const core::RequestId &id)
{
    // The pauses between the events of a long stream stay near the gap target of its route.
    const int minEvents = isLongStream(id) ? 20 : 4;
    constexpr std::size_t range = 8;
    return minEvents + static_cast<int>(std::hash<std::string> {}(id.value()) % range);
}

std::string expectedStamp(const core::RequestId &id, int status)
{
    return id.value() + "." + std::to_string(status);
}

} // namespace jackdawlead::soak
