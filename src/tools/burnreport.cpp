#include "burnreport.h"

#include "core/error.h"

#include <iomanip>
#include <sstream>

namespace jackdawlead::tools {

namespace {

using nlohmann::json;

absl::Status mergeError(const std::string &host, const std::string &message)
{
    return core::makeError(absl::StatusCode::kFailedPrecondition, "merge", host, message);
}

absl::Status addDaemon(json &merged, const json &daemon)
{
    const std::string host = daemon.value("host", std::string("daemon"));
    const json &indicators = daemon.at("indicators");
    json &sums = merged["indicators"];
    if (sums.empty()) {
        sums = indicators;
        return absl::OkStatus();
    }
    if (sums.size() != indicators.size())
        return mergeError(host, "number of indicators differs");
    for (std::size_t index = 0; index < sums.size(); ++index) {
        json &sum = sums[index];
        const json &daemonRow = indicators[index];
        for (const char *field : {"name", "windowSeconds", "limitMs", "objective"})
            if (sum.at(field) != daemonRow.at(field))
                return mergeError(host,
                                  std::string(field) + " differs: " + sum.at(field).dump() + " and "
                                      + daemonRow.at(field).dump());
        sum["total"]
            = sum.at("total").get<std::uint64_t>() + daemonRow.at("total").get<std::uint64_t>();
        sum["good"]
            = sum.at("good").get<std::uint64_t>() + daemonRow.at("good").get<std::uint64_t>();
        sum["coveredSeconds"] = std::min(sum.at("coveredSeconds").get<double>(),
                                         daemonRow.at("coveredSeconds").get<double>());
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<json> mergeBurn(const std::vector<json> &daemons)
{
    json merged {{"daemons", daemons.size()}, {"indicators", json::array()}};
    try {
        for (const json &daemon : daemons)
            if (const absl::Status status = addDaemon(merged, daemon); !status.ok())
                return status;
        for (json &sum : merged["indicators"]) {
            const auto total = sum.at("total").get<double>();
            const double badShare = total > 0 ? 1.0 - sum.at("good").get<double>() / total : 0.0;
            sum["burn"] = badShare / (1.0 - sum.at("objective").get<double>());
        }
    } catch (const json::exception &error) {
        return mergeError("daemon", std::string("malformed response: ") + error.what());
    }
    return merged;
}

std::string burnTable(const json &merged)
{
    std::ostringstream text;
    text << "daemons: " << merged.at("daemons").dump() << "\n"
         << "indicator    window s  covered s  limit ms  objective      total       good    burn\n";
    for (const json &row : merged.at("indicators"))
        text << std::left << std::setw(12) << row.at("name").get<std::string>() << std::right
             << std::setw(9) << row.at("windowSeconds").dump() << std::setw(11) << std::fixed
             << std::setprecision(0) << row.at("coveredSeconds").get<double>() << std::setw(10)
             << row.at("limitMs").dump() << std::setw(11) << std::setprecision(3)
             << row.at("objective").get<double>() << std::setw(11) << row.at("total").dump()
             << std::setw(11) << row.at("good").dump() << std::setw(8) << std::setprecision(2)
             << row.at("burn").get<double>() << "\n";
    text << "A burn of 1 uses up the error budget exactly; above 1 the objective is missed.\n";
    return text.str();
}

} // namespace jackdawlead::tools
