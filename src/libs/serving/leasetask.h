#pragma once

#include "decisions/lease.h"
#include "serving/context.h"

#include <functional>
#include <string>

namespace jackdawlead::serving {

/// Keeps this daemon's host lease in the object API.
/// Thread safety: the loop's thread only.
class LeaseTask
{
public:
    explicit LeaseTask(Context &context);

    /// `regained` is called when the lease becomes valid again after a lapse, before any other task
    /// can use it.
    void start(std::function<void()> regained);
    /// `answered` is called with the end of each renewal and the time at which it was sent.
    void onAnswer(std::function<void(const absl::Status &, core::TimePoint)> answered)
    {
        m_answered = std::move(answered);
    }
    /// Deletes the lease so that others can take over at once; `done` is called in any case.
    void release(std::function<void()> done);
    /// Whether exclusive rights hold now; to be asked directly before each use of them.
    bool isValid() const;

private:
    void renew();
    void adopt();
    void readBack(core::TimePoint sentAt);
    void stored(const objectapi::Object &object, core::TimePoint sentAt);
    void renewLater();
    void removeRecord();

    Context &m_context;
    decisions::LeaseHolder m_holder;
    std::string m_incarnation;
    std::string m_resourceVersion;
    std::uint64_t m_renewals = 0;
    bool m_isRenewing = false;
    std::function<void()> m_released; ///< Set once release() was called.
    std::function<void()> m_regained;
    std::function<void(const absl::Status &, core::TimePoint)> m_answered;
    net::TimerService::Subscription m_timer;
};

} // namespace jackdawlead::serving
