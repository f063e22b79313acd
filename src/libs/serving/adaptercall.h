#pragma once

#include "decisions/retrystate.h"
#include "net/httpserver.h"
#include "serving/callertask.h"
#include "serving/filters.h"

#include <memory>
#include <vector>

namespace jackdawlead::serving {

/// One adapter request on its entry daemon: place, send to the owner, relay, settle. A request that
/// was not run, or whose answer broke off before its first byte, is tried on the next endpoint
/// within its deadline. Thread safety: the loop's thread only.
class AdapterCall : public std::enable_shared_from_this<AdapterCall>
{
public:
    static void start(CallerTask &owner, ResolvedAdapterCall call,
                      std::shared_ptr<net::ServerExchange> exchange);
    AdapterCall(CallerTask &owner, ResolvedAdapterCall call,
                std::shared_ptr<net::ServerExchange> exchange);
    ~AdapterCall();
    AdapterCall(const AdapterCall &) = delete;
    AdapterCall &operator=(const AdapterCall &) = delete;

private:
    void place();
    void sendNext();
    void headReceived(int status, const net::Headers &headers);
    void dataReceived(std::string_view data);
    void ended(const absl::Status &status);
    bool mayTryNext(const absl::Status &status);
    void refuse(const absl::Status &status);
    void endAttempt();
    void callerGone();

    CallerTask &m_owner;
    ResolvedAdapterCall m_call;
    std::shared_ptr<net::ServerExchange> m_exchange;
    std::vector<core::EndpointId> m_order;
    std::size_t m_next = 0;
    decisions::RetryState m_attempts {{}, true};
    decisions::Fingerprint m_fingerprint;
    core::EndpointId m_endpoint;
    Dispatcher::Cancel m_cancel;
    std::shared_ptr<AdapterCall> m_keepAlive;
};

} // namespace jackdawlead::serving
