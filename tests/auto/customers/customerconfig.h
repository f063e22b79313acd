#pragma once

#include "support/platformconfig.h"

namespace jackdawlead::testsupport {

/// The spec of `config/main` with customers `tenants`.
inline json configurationWith(const json &tenants)
{
    json spec = configuration(1, defaultRoutes());
    spec["tenants"] = tenants;
    return spec;
}

} // namespace jackdawlead::testsupport
