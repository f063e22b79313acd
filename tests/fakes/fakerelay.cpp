// Relays TCP connections of one loopback port to another, to stand in for a network between two
// processes. Faults are switched by POST /fake/fault on the control port with a JSON object:
//   open: applies at once to the connections that are open: "cut", "swallow" (drops the bytes of
//         both directions and keeps the connections), "swallow-up" or "swallow-down" (drops only
//         what goes to, or comes from, the target)
//   new: applies to later connections until it is changed: "ok", "refuse", "swallow"
//   delayMs: added to every piece of data until it is changed
//   status: replaces the status 200 of answers until it is changed; "200" for none
#include "fakeoptions.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "net/timerservice.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <unistd.h>

#include <list>
#include <memory>
#include <string>

namespace {

using namespace jackdawlead;
using nlohmann::json;

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

class Relay;

/// One relayed connection: the side of the caller and the side of the target.
struct Link
{
    struct Side
    {
        Link *link = nullptr;
        bufferevent *stream = nullptr;
        bool isSwallowed = false; ///< Whether bytes that arrive on this side are dropped.
        std::list<net::TimerService::Subscription> delayed;
    };
    Relay *relay = nullptr;
    Side caller;
    Side target;
    bool isClosing = false;
};

class Relay
{
public:
    Relay(net::EventLoop &loop, net::TimerService &timers, int targetPort)
        : m_loop(loop)
        , m_timers(timers)
        , m_target(loopback(targetPort))
    { }

    bool listen(int port)
    {
        const sockaddr_in address = loopback(port);
        return evconnlistener_new_bind(m_loop.base(), &Relay::accepted, this,
                                       LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                       reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != nullptr;
    }

    void setFault(const std::shared_ptr<net::ServerExchange> &exchange)
    {
        const json change = json::parse(exchange->request().body);
        m_new = change.value("new", m_new);
        m_delay = std::chrono::milliseconds(change.value("delayMs", m_delay.count()));
        m_status = change.value("status", m_status);
        const std::string open = change.value("open", std::string());
        for (auto link = m_links.begin(); link != m_links.end();) {
            Link &current = **link++;
            if (open == "cut")
                close(current);
            if (open == "swallow" || open == "swallow-up")
                current.caller.isSwallowed = true;
            if (open == "swallow" || open == "swallow-down")
                current.target.isSwallowed = true;
        }
        exchange->respond({.status = 200, .headers = {}, .body = change.dump()});
    }

private:
    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument)
    {
        auto *self = static_cast<Relay *>(argument);
        if (self->m_new == "refuse") {
            ::close(socket);
            return;
        }
        auto &link = self->m_links.emplace_back(std::make_unique<Link>());
        link->relay = self;
        link->caller.isSwallowed = link->target.isSwallowed = self->m_new == "swallow";
        self->attach(*link, link->caller, socket);
        self->attach(*link, link->target, -1);
        bufferevent_socket_connect(link->target.stream,
                                   reinterpret_cast<const sockaddr *>(&self->m_target),
                                   sizeof self->m_target);
    }

    void attach(Link &link, Link::Side &side, evutil_socket_t socket)
    {
        side.link = &link;
        side.stream = bufferevent_socket_new(m_loop.base(), socket,
                                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(side.stream, &Relay::received, nullptr, &Relay::changed, &side);
        bufferevent_enable(side.stream, EV_READ | EV_WRITE);
    }

    static Link::Side &otherOf(Link::Side &side)
    {
        return &side == &side.link->caller ? side.link->target : side.link->caller;
    }

    static void received(bufferevent *stream, void *argument)
    {
        auto &side = *static_cast<Link::Side *>(argument);
        evbuffer *input = bufferevent_get_input(stream);
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        if (side.isSwallowed)
            return;
        Relay *self = side.link->relay;
        Link::Side &other = otherOf(side);
        constexpr std::string_view answerBegin = "HTTP/1.1 200";
        if (&side == &side.link->target && data.starts_with(answerBegin))
            data.replace(0, answerBegin.size(), "HTTP/1.1 " + self->m_status);
        if (self->m_delay.count() == 0) {
            bufferevent_write(other.stream, data.data(), data.size());
            return;
        }
        side.delayed.push_back(self->m_timers.once(self->m_delay, [&other, data] {
            bufferevent_write(other.stream, data.data(), data.size());
        }));
    }

    static void changed(bufferevent *, short events, void *argument)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        auto &side = *static_cast<Link::Side *>(argument);
        Link &link = *side.link;
        // A link that swallows bytes does not pass on that one side closed it.
        if (link.caller.isSwallowed || link.target.isSwallowed) {
            bufferevent_disable(side.stream, EV_READ);
            return;
        }
        Relay *self = link.relay;
        Link::Side &other = otherOf(side);
        if (evbuffer_get_length(bufferevent_get_output(other.stream)) == 0
            && side.delayed.empty()) {
            self->close(link);
            return;
        }
        // What was received before the end is written first.
        side.delayed.push_back(self->m_timers.once(self->m_delay + std::chrono::milliseconds(100),
                                                   [self, &link] { self->close(link); }));
    }

    void close(Link &link)
    {
        if (std::exchange(link.isClosing, true))
            return;
        m_loop.post([this, &link] {
            bufferevent_free(link.caller.stream);
            bufferevent_free(link.target.stream);
            m_links.remove_if([&link](const auto &entry) { return entry.get() == &link; });
        });
    }

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    sockaddr_in m_target;
    std::list<std::unique_ptr<Link>> m_links;
    std::string m_new = "ok";
    std::string m_status = "200";
    std::chrono::milliseconds m_delay {0};
};

} // namespace

int main(int argc, char *argv[])
{
    const auto options = fakes::parseOptions(
        argc, argv, {{"port", "7300"}, {"target-port", "7100"}, {"control-port", "7301"}});
    net::EventLoop loop;
    net::TimerService timers(loop);
    Relay relay(loop, timers, fakes::numberOption(options, "target-port"));
    net::HttpServer control(loop, {}, [&relay](const auto &exchange) { relay.setFault(exchange); });
    const auto port = static_cast<std::uint16_t>(fakes::numberOption(options, "control-port"));
    if (!relay.listen(fakes::numberOption(options, "port"))
        || !control.listen({"127.0.0.1", port}).ok()) {
        std::cerr << "cannot listen\n";
        return 1;
    }
    loop.onSignal(15, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
