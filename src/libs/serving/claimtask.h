#pragma once

#include "decisions/claimattempt.h"
#include "serving/context.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace jackdawlead::serving {

/// The right of one attempt to run a request that must not repeat.
struct ClaimGrant
{
    objectapi::Object object; ///< As written, for the update that settles it.
    decisions::Claim claim;
};

/// The stored answer of an earlier attempt.
struct StoredAnswer
{
    int status = 0;
    std::string body;
};

/// Keeps idempotency claims in the object API. Thread safety: the loop's thread only.
class ClaimTask
{
public:
    struct Result
    {
        std::optional<ClaimGrant> grant;    ///< Set if the attempt may run.
        std::optional<StoredAnswer> answer; ///< Set if an earlier attempt completed.
    };
    using Handler = std::function<void(absl::StatusOr<Result>)>;

    explicit ClaimTask(Context &context);

    /// Asks for the right to run. Errors carry step `claim` and the outcome that the caller is
    /// told: NotRun while another attempt runs or the object API is out, Unknown after an attempt
    /// whose outcome is unknown.
    void begin(const std::string &name, const std::string &bodyDigest, Handler handler);
    /// Records the end of an attempt; `done` is called in any case.
    void settle(ClaimGrant grant, decisions::ClaimState state, const StoredAnswer &answer,
                std::function<void()> done);

private:
    struct Attempt
    {
        std::string name;
        decisions::ClaimAttempt decisions;
        Handler handler;
        objectapi::Object object; ///< The claim as last written or read.
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    using WriteHandler = objectapi::ObjectClient::ObjectHandler;

    void carryOut(const AttemptPtr &attempt, const decisions::ClaimStep &step);
    void read(const AttemptPtr &attempt);
    void readHolderLease(const AttemptPtr &attempt, const core::HostId &holder);
    WriteHandler writeHandler(const AttemptPtr &attempt);

    Context &m_context;
};

} // namespace jackdawlead::serving
