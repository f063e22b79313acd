#include "gateway/endpointprobe.h"

#include "http/controlclient.h"
#include "platform/endpointcodec.h"

#include <optional>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Model engines report their contents without a free slot; other services answer health checks.
std::optional<net::HttpRequest> requestFor(const fleet::Endpoint &endpoint,
                                           const fleet::ServiceSpec *service)
{
    if (service == nullptr)
        return std::nullopt;
    if (service->engine)
        return platform::makeReportRequest(endpoint.id);
    if (service->healthPath.empty())
        return std::nullopt;
    return platform::makeHealthRequest(endpoint.id, service->healthPath);
}

} // namespace

EndpointProbe::EndpointProbe(net::EventLoop &loop, const EndpointPool &pool,
                             const fleet::Endpoint &endpoint, const fleet::ServiceSpec *service,
                             Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_connection(pool.connect(endpoint))
{
    const auto request = requestFor(endpoint, service);
    if (!request) {
        m_connection->setConnectHandler([this, alive = m_isAlive](bool isConnected) {
            if (*alive)
                finish(isConnected ? Result::Answered : Result::Refused);
        });
        return;
    }
    m_isAsking = true;
    http::OutgoingRequest outgoing;
    outgoing.bytes = http::serialize(*request, endpoint.address);
    http::ExchangeObserver observer;
    observer.onHead = [](const http::MessageHead &) {};
    observer.onBody = [](const std::string &) {};
    observer.onEnd = [this](http::ExchangeEnd end) {
        if (http::isComplete(end))
            finish(Result::Answered);
        else
            finish(end == http::ExchangeEnd::ConnectFailed ? Result::Refused : Result::Broken);
    };
    m_connection->send(outgoing, std::move(observer));
}

EndpointProbe::~EndpointProbe()
{
    *m_isAlive = false;
    if (!m_connection)
        return;
    m_connection->abandon();
    http::closeLater(m_loop, std::move(m_connection));
}

void EndpointProbe::finish(Result result)
{
    // The connection is on the stack, and the handler may destroy the probe.
    m_loop.post([this, alive = m_isAlive, result] {
        if (!*alive)
            return;
        const Handler handler = std::move(m_handler);
        handler(result);
    });
}

} // namespace jackdawlead::gateway
