#pragma once

#include "core/ids.h"

#include <string>

namespace jackdawlead::soak {

/// The bytes that endpoints send and callers expect. All of them contain the id of their request.
std::string expectedBody(const core::RequestId &id);
std::string expectedEvents(const core::RequestId &id, int from, int to,
                           const std::string &softwareVersion = "v1");
/// Requests whose ids begin with this have streams that last seconds.
inline constexpr char longStreamPrefix[] = "long";
bool isLongStream(const core::RequestId &id);
/// The number of events in the stream of a request.
int eventCount(const core::RequestId &id);
/// The number of whole events, and the software version that wrote the first one.
int countEvents(const std::string &body);
std::string softwareVersionOf(const std::string &body);
std::string expectedStamp(const core::RequestId &id, int status);

} // namespace jackdawlead::soak
