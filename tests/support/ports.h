#pragma once

#include <cstdint>
#include <vector>

namespace jackdawlead::testsupport {

/// Finds free loopback ports by binding port 0. Every port stays bound until the picker is
/// destroyed, so that no port is given twice. Thread safety: one thread at a time.
class PortPicker
{
public:
    PortPicker() = default;
    ~PortPicker();
    PortPicker(const PortPicker &) = delete;
    PortPicker &operator=(const PortPicker &) = delete;

    /// A free port; 0 if the system has none.
    std::uint16_t take();

private:
    std::vector<int> m_sockets;
};

} // namespace jackdawlead::testsupport
