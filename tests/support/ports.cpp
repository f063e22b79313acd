#include "support/ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jackdawlead::testsupport {

PortPicker::~PortPicker()
{
    for (const int socket : m_sockets)
        close(socket);
}

std::uint16_t PortPicker::take()
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    m_sockets.push_back(handle);
    // A listener that allows reuse as well may bind the port beside this socket, which never
    // listens; the system gives it to nobody who asks for any port.
    const int isReusable = 1;
    if (setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof isReusable) != 0
        || bind(handle, reinterpret_cast<const sockaddr *>(&address), size) != 0
        || getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

} // namespace jackdawlead::testsupport
