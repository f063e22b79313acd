#pragma once

#include "virtualtime.h"

#include "core/ids.h"
#include "decisions/claim.h"

#include <map>
#include <memory>
#include <string>

namespace jackdawlead::faults {

/// Any object of the fake object API; each kind uses its own fields.
struct Stored
{
    std::uint64_t version = 0;
    core::HostId holder;
    core::FencingToken token;
    decisions::Claim claim;
    core::Generation generation;
};

struct ApiReply
{
    enum class Code { Ok, NotFound, Conflict, Unanswered, NotSent };
    Code code = Code::Unanswered;
    Stored object;

    bool isOk() const { return code == Code::Ok; }
};

/// Conditional updates in memory, with outages, slow answers, and answers lost after the effect.
class SimApi
{
public:
    using Handler = std::function<void(const ApiReply &)>;

    explicit SimApi(VirtualTime &time)
        : m_time(time)
    { }

    core::TimePoint outUntil;
    core::TimePoint slowUntil;
    int answersToLose = 0;

    void create(const std::string &name, const Stored &object, bool isReachable, Handler handler)
    {
        call(isReachable, std::move(handler), [this, name, object] {
            return m_objects.contains(name) ? ApiReply {ApiReply::Code::Conflict, {}}
                                            : store(name, object);
        });
    }
    /// Replaces the object if it still has the version in `object`.
    void update(const std::string &name, const Stored &object, bool isReachable, Handler handler)
    {
        call(isReachable, std::move(handler), [this, name, object] {
            const auto found = m_objects.find(name);
            const bool isSame = found != m_objects.end() && found->second.version == object.version;
            return isSame ? store(name, object) : ApiReply {ApiReply::Code::Conflict, {}};
        });
    }
    void read(const std::string &name, bool isReachable, Handler handler)
    {
        call(isReachable, std::move(handler), [this, name] {
            const auto found = m_objects.find(name);
            return found == m_objects.end() ? ApiReply {ApiReply::Code::NotFound, {}}
                                            : ApiReply {ApiReply::Code::Ok, found->second};
        });
    }
    void remove(const std::string &name, bool isReachable, Handler handler)
    {
        call(isReachable, std::move(handler), [this, name] {
            m_objects.erase(name);
            return ApiReply {ApiReply::Code::Ok, {}};
        });
    }
    /// The truth, for the checker and for seeding.
    Stored &at(const std::string &name) { return m_objects[name]; }
    ApiReply store(const std::string &name, Stored object)
    {
        object.version = ++m_version;
        m_objects[name] = object;
        return {ApiReply::Code::Ok, object};
    }

private:
    static constexpr core::Duration timeout = std::chrono::seconds(2);

    core::Duration delay()
    {
        using namespace std::chrono_literals;
        return m_time.now() < slowUntil ? m_time.between(100ms, 2500ms) : m_time.between(1ms, 10ms);
    }
    void call(bool isReachable, Handler handler, std::function<ApiReply()> effect)
    {
        if (!isReachable || m_time.now() < outUntil) {
            const bool isRefused = m_time.chance(50);
            const auto code = isRefused ? ApiReply::Code::NotSent : ApiReply::Code::Unanswered;
            m_time.after(isRefused ? delay() : timeout, [handler = std::move(handler), code] {
                handler({code, {}});
            });
            return;
        }
        const core::Duration there = delay();
        const core::Duration back = delay();
        const bool isLost = answersToLose > 0 && answersToLose-- > 0;
        if (isLost || there + back > timeout) {
            m_time.after(there, [effect = std::move(effect)] { effect(); });
            m_time.after(timeout, [handler = std::move(handler)] {
                handler({ApiReply::Code::Unanswered, {}});
            });
            return;
        }
        m_time.after(there, [this, back, handler = std::move(handler), effect = std::move(effect)] {
            m_time.after(back, [handler, reply = effect()] { handler(reply); });
        });
    }

    VirtualTime &m_time;
    std::map<std::string, Stored> m_objects;
    std::uint64_t m_version = 0;
};

} // namespace jackdawlead::faults
