#pragma once

#include <string>

namespace jackdawlead::net {

/// Whether the text is an IPv4 address in dotted decimal form. Connections to any other text go to
/// the machine itself. Thread safety: any thread.
bool isIpv4Address(const std::string &text);

} // namespace jackdawlead::net
