#include "admincommands.h"

#include "burnreport.h"
#include "core/error.h"
#include "syncclient.h"

namespace jackdawlead::tools {

using nlohmann::json;

absl::StatusOr<json> AdminCommands::call(const net::Address &admin, const std::string &method,
                                         const std::string &path) const
{
    SyncClient client(admin);
    const auto response
        = client.send(admin,
                      {.method = method,
                       .path = path,
                       .headers = {{"Authorization", "Bearer " + m_arguments.adminCredential}},
                       .body = {}});
    const auto adminError = [&admin](absl::StatusCode code, const std::string &message) {
        return core::makeError(code, "admin", admin.toString(), message);
    };
    if (!response.ok())
        return adminError(response.status().code(), std::string(response.status().message()));
    if (response->status != 200)
        return adminError(absl::StatusCode::kPermissionDenied,
                          "status " + std::to_string(response->status) + ": " + response->body);
    json body = json::parse(response->body, nullptr, false);
    if (!body.is_object())
        return adminError(absl::StatusCode::kInternal, "the response is not a JSON object");
    return body;
}

ExitCode AdminCommands::callDaemon(const std::string &method, const std::string &path) const
{
    const auto body = call(m_arguments.adminAddresses.front(), method, path);
    if (!body.ok())
        return m_printer.error(body.status());
    return m_printer.result(*body, body->dump(2) + "\n");
}

ExitCode AdminCommands::status() const
{
    return callDaemon("GET", "/admin/v1/status");
}

ExitCode AdminCommands::drain() const
{
    return callDaemon("POST", "/admin/v1/drain");
}

ExitCode AdminCommands::reportBurn() const
{
    std::vector<json> responses;
    for (const net::Address &admin : m_arguments.adminAddresses) {
        auto body = call(admin, "GET", "/admin/v1/burn");
        if (!body.ok())
            return m_printer.error(body.status());
        responses.push_back(*std::move(body));
    }
    const auto merged = mergeBurn(responses);
    if (!merged.ok())
        return m_printer.error(merged.status());
    return m_printer.result(*merged, burnTable(*merged));
}

} // namespace jackdawlead::tools
