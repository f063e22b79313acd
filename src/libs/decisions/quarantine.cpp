#include "decisions/quarantine.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <string>

namespace jackdawlead::decisions {

namespace {

constexpr char separator = '/';

} // namespace

Fingerprint fingerprintOf(const core::CustomerId &customer, const core::AdapterVersion &adapter,
                          std::string_view body)
{
    const std::string owner = customer.value() + "\n" + adapter.toString() + "\n";
    const XXH64_hash_t ownerHash = XXH3_64bits(owner.data(), owner.size());
    const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), ownerHash);
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return Fingerprint(text.data());
}

const Quarantine::Entry *Quarantine::find(const Fingerprint &fingerprint, core::TimePoint now) const
{
    const auto entry = m_entries.find(fingerprint);
    return entry == m_entries.end() || now >= entry->second.expiresAt ? nullptr : &entry->second;
}

bool Quarantine::recordCrash(const Fingerprint &fingerprint, const CrashId &crash,
                             core::TimePoint now)
{
    while (!m_byAge.empty() && now >= m_entries.at(m_byAge.front()).expiresAt) {
        m_entries.erase(m_byAge.front());
        m_byAge.pop_front();
    }
    const auto known = m_entries.find(fingerprint);
    if (known == m_entries.end()) {
        if (m_entries.size() >= m_limits.maxEntries) {
            m_entries.erase(m_byAge.front());
            m_byAge.pop_front();
        }
        m_entries.emplace(
            fingerprint,
            Entry {{crash}, now + m_limits.duration, m_byAge.insert(m_byAge.end(), fingerprint)});
        return true;
    }
    Entry &entry = known->second;
    if (entry.crashes.contains(crash))
        return false;
    // Two crashes are kept, so that the size is bounded and a repeated message is still detected.
    if (entry.crashes.size() >= crashesUntilNotRepeated)
        entry.crashes.erase(entry.crashes.begin());
    entry.crashes.insert(crash);
    entry.expiresAt = now + m_limits.duration;
    m_byAge.splice(m_byAge.end(), m_byAge, entry.agePosition);
    return true;
}

QuarantineState Quarantine::state(const Fingerprint &fingerprint, core::TimePoint now) const
{
    const Entry *entry = find(fingerprint, now);
    if (!entry)
        return QuarantineState::Clear;
    return entry->crashes.size() >= crashesUntilNotRepeated ? QuarantineState::Quarantined
                                                            : QuarantineState::Suspect;
}

core::Duration Quarantine::remaining(const Fingerprint &fingerprint, core::TimePoint now) const
{
    const Entry *entry = find(fingerprint, now);
    return entry ? entry->expiresAt - now : core::Duration::zero();
}

bool Quarantine::mayStart(const Fingerprint &fingerprint, core::TimePoint now) const
{
    switch (state(fingerprint, now)) {
    case QuarantineState::Clear:
        return true;
    case QuarantineState::Suspect:
        return !m_running.contains(fingerprint);
    case QuarantineState::Quarantined:
        break;
    }
    return false;
}

void Quarantine::recordEnd(const Fingerprint &fingerprint)
{
    const auto running = m_running.find(fingerprint);
    if (running != m_running.end() && --running->second <= 0)
        m_running.erase(running);
}

Fact Quarantine::toFact(const Fingerprint &fingerprint, const CrashId &crash)
{
    return {FactKind::Quarantine,
            FactSubject(fingerprint.value() + separator + crash.value()),
            FactVersion(1),
            {}};
}

bool Quarantine::mergeFact(const Fact &fact, core::TimePoint now)
{
    const std::string &subject = fact.subject.value();
    const std::size_t end = subject.find(separator);
    if (fact.kind != FactKind::Quarantine || end == std::string::npos || end == 0
        || end + 1 == subject.size())
        return false;
    return recordCrash(Fingerprint(subject.substr(0, end)), CrashId(subject.substr(end + 1)), now);
}

} // namespace jackdawlead::decisions
