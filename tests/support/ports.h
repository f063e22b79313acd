#pragma once

#include <cstdint>
#include <vector>

namespace jackdawlead::testsupport {

/// Reserves free loopback ports. A listener with SO_REUSEADDR may use a reserved port, while the
/// system gives it to no other process until the picker is destroyed; a picker lives as long as
/// the test that uses its ports. Thread safety: one thread at a time.
class PortPicker
{
public:
    PortPicker() = default;
    ~PortPicker();
    PortPicker(const PortPicker &) = delete;
    PortPicker &operator=(const PortPicker &) = delete;

    /// A reserved port; 0 if the system has none.
    std::uint16_t take();

private:
    std::vector<int> m_sockets;
};

} // namespace jackdawlead::testsupport
