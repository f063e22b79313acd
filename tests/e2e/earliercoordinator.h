#pragma once

#include "support/platformfixture.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace jackdawlead::testsupport {

/// Stands in for a coordinator of an earlier release: it holds the lease for orders in the fake
/// store, and answers each report with the view that a daemon of that release sent, as recorded.
/// It gives no orders. Thread safety: the loop's thread only.
class EarlierCoordinator
{
public:
    /// `recordedView` is the content of the CBOR message in Base64. Takes the lease over from
    /// whoever holds it.
    EarlierCoordinator(PlatformFixture &fixture, std::string recordedView);

    /// Ends its renewals and its answers, as if it was killed.
    void kill();
    int reports() const { return m_reports; }

private:
    void renew();
    void serve(const std::shared_ptr<http::ServerExchange> &exchange);

    PlatformFixture &m_fixture;
    std::string m_recordedView;
    std::uint16_t m_port;
    std::uint64_t m_token = 0;
    int m_reports = 0;
    bool m_isKilled = false;
    http::Server m_server;
    net::TimerService::Subscription m_renewTimer;
};

} // namespace jackdawlead::testsupport
