#pragma once

#include "http/server.h"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace jackdawlead::testsupport {

/// Without the listener the daemon under test could connect to another process on the port.
inline void listenOrThrow(http::Server &server, std::uint16_t port)
{
    if (const absl::Status status = server.listen({"127.0.0.1", port}); !status.ok())
        throw std::runtime_error(std::string(status.message()));
}

} // namespace jackdawlead::testsupport
