#pragma once

#include <string>

namespace jackdawlead::serving {

/// 128 random bits as hexadecimal text, from the system's generator. Thread safety: any thread.
std::string randomId();

} // namespace jackdawlead::serving
