#include "net/ipaddress.h"

#include <arpa/inet.h>

namespace jackdawlead::net {

bool isIpv4Address(const std::string &text)
{
    in_addr address {};
    return text.find('\0') == std::string::npos && inet_pton(AF_INET, text.c_str(), &address) == 1;
}

} // namespace jackdawlead::net
