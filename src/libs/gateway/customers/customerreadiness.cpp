#include "gateway/customers/customerreadiness.h"

#include <absl/strings/str_cat.h>

namespace jackdawlead::gateway::customers {

namespace {

constexpr core::Duration minWarningInterval = std::chrono::seconds(10);
// A daemon states that it checks keys once its own configuration lists customers, up to 4 s after
// the coordinator's, and reports within the next second.
constexpr core::Duration settlingTime = std::chrono::seconds(5);
constexpr std::size_t maxNamedHosts = 8;

std::string namesOf(const std::set<core::HostId> &hosts)
{
    std::string text;
    std::size_t count = 0;
    for (const core::HostId &host : hosts) {
        if (count++ == maxNamedHosts)
            return text + ", ...";
        absl::StrAppend(&text, count == 1 ? "" : ", ", host.value());
    }
    return text;
}

} // namespace

std::optional<std::string> CustomerReadiness::update(const std::set<core::HostId> &lacking,
                                                     core::TimePoint now)
{
    if (lacking != m_latest) {
        m_latest = lacking;
        m_latestSince = now;
    }
    if (m_latest == m_warnedOf || now - m_latestSince < settlingTime
        || (m_lastWarningAt && now - *m_lastWarningAt < minWarningInterval))
        return std::nullopt;
    m_warnedOf = m_latest;
    m_lastWarningAt = now;
    if (m_latest.empty())
        return "no daemon serves requests without checking their keys any longer";
    return absl::StrCat("the configuration lists customers, but ", m_latest.size(),
                        " daemons do not state that they check keys: ", namesOf(m_latest));
}

} // namespace jackdawlead::gateway::customers
