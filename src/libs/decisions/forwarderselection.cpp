#include "decisions/forwarderselection.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawlead::decisions {

namespace {

enum class Nearness { OwnDomain, OwnRegion, OtherRegion };

Nearness nearnessOf(const core::FailureDomainId &domain, const ForwarderCandidate &self,
                    const std::map<core::FailureDomainId, core::RegionId> &regions)
{
    if (domain == self.domain)
        return Nearness::OwnDomain;
    const auto own = regions.find(self.domain);
    const auto other = regions.find(domain);
    const bool isOwnRegion
        = own != regions.end() && other != regions.end() && own->second == other->second;
    return isOwnRegion ? Nearness::OwnRegion : Nearness::OtherRegion;
}

} // namespace

std::vector<core::HostId>
selectForwarders(const ForwarderCandidate &self, const std::vector<ForwarderCandidate> &candidates,
                 const std::map<core::FailureDomainId, core::RegionId> &regions, std::size_t count)
{
    std::map<core::FailureDomainId, std::vector<const core::HostId *>> byDomain;
    for (const ForwarderCandidate &candidate : candidates) {
        if (candidate.host != self.host)
            byDomain[candidate.domain].push_back(&candidate.host);
    }
    std::vector<const std::vector<const core::HostId *> *> domains;
    for (const Nearness nearness :
         {Nearness::OwnDomain, Nearness::OwnRegion, Nearness::OtherRegion}) {
        for (const auto &[domain, hosts] : byDomain) {
            if (nearnessOf(domain, self, regions) == nearness)
                domains.push_back(&hosts);
        }
    }
    const std::string &name = self.host.value();
    const std::size_t start = XXH3_64bits(name.data(), name.size());
    std::vector<core::HostId> selected;
    for (std::size_t round = 0; selected.size() < count; ++round) {
        const std::size_t before = selected.size();
        for (const auto *hosts : domains) {
            if (round < hosts->size() && selected.size() < count)
                selected.push_back(*(*hosts)[(start + round) % hosts->size()]);
        }
        if (selected.size() == before)
            break;
    }
    return selected;
}

} // namespace jackdawlead::decisions
