#pragma once

#include "decisions/retrystate.h"
#include "net/httpserver.h"
#include "serving/callertask.h"
#include "serving/claimtask.h"
#include "serving/filters.h"

#include <memory>
#include <optional>

namespace jackdawlead::serving {

/// One call of a plain service on its entry daemon: claim if it must not repeat, place, dispatch,
/// relay, settle. Thread safety: the loop's thread only.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    static void start(CallerTask &owner, ResolvedServiceCall call,
                      std::shared_ptr<net::ServerExchange> exchange);
    ServiceCall(CallerTask &owner, ResolvedServiceCall call,
                std::shared_ptr<net::ServerExchange> exchange);
    ~ServiceCall();
    ServiceCall(const ServiceCall &) = delete;
    ServiceCall &operator=(const ServiceCall &) = delete;

private:
    void claim();
    void claimed(const absl::StatusOr<ClaimTask::Result> &result);
    void giveUpClaim();
    void dispatch();
    void answered(const absl::StatusOr<net::HttpResponse> &reply);
    void settleClaim(decisions::ClaimState state, const StoredAnswer &answer,
                     const std::function<void()> &done);
    void respond(const net::HttpResponse &response);
    void refuse(const absl::Status &last);

    CallerTask &m_owner;
    ResolvedServiceCall m_call;
    std::shared_ptr<net::ServerExchange> m_exchange;
    std::optional<ClaimGrant> m_grant;
    core::EndpointId m_endpoint;
    decisions::RetryState m_attempts;
    std::size_t m_next = 0;
    bool m_isGivenUp = false; ///< Answered before its claim was decided.
    net::TimerService::Subscription m_claimLimit;
};

} // namespace jackdawlead::serving
