#include "net/guard.h"

#include <cstdio>
#include <utility>

namespace jackdawlead::net {

namespace {

FailureReport &failureReport()
{
    static FailureReport report;
    return report;
}

} // namespace

void setFailureReport(FailureReport report)
{
    failureReport() = std::move(report);
}

void reportFailure(std::string_view source, std::string_view what) noexcept
{
    try {
        if (failureReport()) {
            failureReport()(source, what);
            return;
        }
    } catch (...) {
        // Falls through: the plain text needs no memory.
    }
    std::fprintf(stderr, "exception in %.*s: %.*s\n", static_cast<int>(source.size()),
                 source.data(), static_cast<int>(what.size()), what.data());
}

} // namespace jackdawlead::net
