#pragma once

#include "decisions/runend.h"
#include "gateway/requestattempt.h"

#include <functional>
#include <memory>
#include <vector>

namespace jackdawlead::gateway {

/// The attempts of one request: the current one, which is the latest that did something, and those
/// in progress beside it. Owns their exchanges, and is the only place that ends one before its
/// answer is complete, for the reasons of decisions::mayEndRun() alone. Thread safety: the event
/// loop's thread only.
class RequestAttempts
{
public:
    struct Handlers
    {
        /// The exchange is over. The connection is reusable only if the answer was complete.
        std::function<void(RequestAttempt &, std::unique_ptr<http::ClientConnection>)> onReleased;
        /// A run that may have been in progress was ended.
        std::function<void(const RequestAttempt &, decisions::RunEnd)> onRunEnded;
        /// The reason did not allow the end; the run goes on.
        std::function<void(const RequestAttempt &, decisions::RunEnd)> onEndRejected;
    };

    RequestAttempts(decisions::BufferBudget &buffers, Handlers handlers);
    ~RequestAttempts();
    RequestAttempts(const RequestAttempts &) = delete;
    RequestAttempts &operator=(const RequestAttempts &) = delete;

    RequestAttempt &current() { return *m_current; }
    const RequestAttempt &current() const { return *m_current; }
    /// Whether attempts are in progress beside the current one.
    bool hasOthers() const { return !m_others.empty(); }
    std::vector<RequestAttempt *> inProgress() const;
    /// Makes the attempt the current one; returns false if it is no longer in progress.
    bool select(int number);

    /// Makes a new attempt the current one. One that is in progress goes on beside it.
    void add(std::unique_ptr<RequestAttempt> attempt);
    /// Sends the request of the current attempt. Precondition: it was not sent yet.
    void start(std::unique_ptr<http::ClientConnection> connection,
               const http::OutgoingRequest &request, http::ExchangeObserver observer);
    void setReadEnabled(bool isReading);

    /// Releases the connection of the current attempt, whose exchange has ended by itself or was
    /// ended.
    void release();
    /// Ends the run of the current attempt. Returns false if the reason does not allow that; the
    /// run goes on then. Must not be called while its connection is on the stack.
    bool endCurrent(decisions::RunEnd reason);
    /// The same for all others.
    void endOthers(decisions::RunEnd reason);
    /// Continues with another attempt after the current one has failed. Precondition: hasOthers().
    void continueOther();
    /// From now on all runs may be ended.
    void setRequestEnded() { m_isRequestEnded = true; }

private:
    bool end(RequestAttempt &attempt, decisions::RunEnd reason, bool isOtherServing);
    void release(RequestAttempt &attempt);

    Handlers m_handlers;
    std::unique_ptr<RequestAttempt> m_current; ///< Never null.
    std::vector<std::unique_ptr<RequestAttempt>> m_others;
    bool m_isRequestEnded = false;
};

} // namespace jackdawlead::gateway
