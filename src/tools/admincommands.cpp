#include "admincommands.h"

#include "burnreport.h"
#include "core/error.h"
#include "syncplatform.h"

namespace jackdawlead::tools {

using nlohmann::json;

absl::StatusOr<json> AdminCommands::call(const net::Address &admin, const std::string &method,
                                         const std::string &path) const
{
    SyncPlatform platform(admin);
    const auto reply
        = platform.send(admin,
                        {.method = method,
                         .path = path,
                         .headers = {{"Authorization", "Bearer " + m_arguments.adminCredential}},
                         .body = {}});
    const auto failed = [&admin](absl::StatusCode code, const std::string &message) {
        return core::makeError(code, "admin", admin.toString(), message);
    };
    if (!reply.ok())
        return failed(reply.status().code(), std::string(reply.status().message()));
    if (reply->status != 200)
        return failed(absl::StatusCode::kPermissionDenied,
                      "status " + std::to_string(reply->status) + ": " + reply->body);
    json body = json::parse(reply->body, nullptr, false);
    if (!body.is_object())
        return failed(absl::StatusCode::kInternal, "the answer is not a JSON object");
    return body;
}

ExitCode AdminCommands::callOne(const std::string &method, const std::string &path) const
{
    const auto body = call(m_arguments.admins.front(), method, path);
    if (!body.ok())
        return m_printer.error(body.status());
    return m_printer.result(*body, body->dump(2) + "\n");
}

ExitCode AdminCommands::status() const
{
    return callOne("GET", "/admin/v1/status");
}

ExitCode AdminCommands::drain() const
{
    return callOne("POST", "/admin/v1/drain");
}

ExitCode AdminCommands::reportBurn() const
{
    std::vector<json> answers;
    for (const net::Address &admin : m_arguments.admins) {
        auto body = call(admin, "GET", "/admin/v1/burn");
        if (!body.ok())
            return m_printer.error(body.status());
        answers.push_back(*std::move(body));
    }
    const auto merged = mergeBurn(answers);
    if (!merged.ok())
        return m_printer.error(merged.status());
    return m_printer.result(*merged, burnTable(*merged));
}

} // namespace jackdawlead::tools
