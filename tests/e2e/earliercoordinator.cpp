#include "earliercoordinator.h"

#include <absl/strings/escaping.h>

#include <vector>

namespace jackdawlead::testsupport {

namespace {

constexpr char leaseKind[] = "jackdawlead-leases";
constexpr char leaseName[] = "orders";
constexpr core::Duration renewPeriod = milliseconds(500);

json decodeView(const std::string &text)
{
    std::string bytes;
    cr_assert(absl::Base64Unescape(text, &bytes));
    return json::from_cbor(bytes);
}

std::string encodeView(const json &view)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(view);
    return absl::Base64Escape(
        absl::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

} // namespace

EarlierCoordinator::EarlierCoordinator(PlatformFixture &fixture, std::string recordedView)
    : m_fixture(fixture)
    , m_recordedView(std::move(recordedView))
    , m_port(fixture.picker.take())
    , m_server(fixture.loop, fixture.timers, [this](const auto &exchange) { serve(exchange); })
{
    cr_assert(m_server.listen({"127.0.0.1", m_port}).ok());
    const json record = fixture.store.spec(leaseKind, leaseName);
    m_token = record.is_null() ? 1 : record.at("token").get<std::uint64_t>() + 1;
    renew();
    m_renewTimer = fixture.timers.every(renewPeriod, [this] { renew(); });
}

void EarlierCoordinator::renew()
{
    m_fixture.store.put(leaseKind, leaseName,
                        {{"holder", "h-earlier"},
                         {"token", m_token},
                         {"address", "127.0.0.1:" + std::to_string(m_port)},
                         {"released", false},
                         {"era", 1},
                         {"sent", m_fixture.timers.now().time_since_epoch().count()},
                         {"waited", true}});
}

void EarlierCoordinator::serve(const std::shared_ptr<http::ServerExchange> &exchange)
{
    if (m_isKilled || exchange->head.target != "/rpc") {
        exchange->abort();
        return;
    }
    const json call = json::parse(exchange->body);
    if (call.at("method") != "report") {
        exchange->respond(404, {}, {});
        return;
    }
    ++m_reports;
    // The token is that of the lease, and the contents build on what the daemon knows.
    json view = decodeView(m_recordedView);
    view["token"] = m_token;
    view["since"] = 0;
    const json reply {
        {"jsonrpc", "2.0"}, {"id", call.at("id")}, {"result", {{"cbor", encodeView(view)}}}};
    exchange->respond(200, {{"Content-Type", "application/json"}}, reply.dump());
}

void EarlierCoordinator::kill()
{
    m_isKilled = true;
    m_renewTimer.cancel();
}

} // namespace jackdawlead::testsupport
