#pragma once

#include "decisions/membership.h"
#include "serving/factcodec.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::tests {

/// Many Membership objects that exchange messages in virtual time. All delays, losses and choices
/// follow from the seed.
class FleetSimulation
{
public:
    FleetSimulation(std::size_t count, double loss, std::uint64_t seed)
        : m_loss(loss)
        , m_random(seed)
    {
        std::set<core::HostId> hosts;
        for (std::size_t index = 0; index < count; ++index)
            hosts.insert(host(index));
        for (std::size_t index = 0; index < count; ++index) {
            m_index[host(index)] = index;
            m_nodes.push_back(std::make_unique<Node>(
                decisions::Membership(host(index), decisions::Incarnation(1), {}, {}, m_random())));
            m_nodes.back()->membership.setHosts(hosts);
            scheduleTick(index, core::Duration(static_cast<std::int64_t>(m_random() % 1'000'000)));
        }
    }

    static core::HostId host(std::size_t index)
    {
        return core::HostId("daemon-" + std::to_string(index));
    }

    decisions::Membership &node(std::size_t index) { return m_nodes[index]->membership; }
    std::size_t size() const { return m_nodes.size(); }
    core::TimePoint now() const { return m_now; }
    std::uint64_t messages() const { return m_messages; }
    /// Bytes sent by all daemons, including an estimate of the HTTP and TCP overhead.
    std::uint64_t bytes() const { return m_bytes; }

    /// A stopped node neither sends nor receives; messages to it are lost.
    void setStopped(std::size_t index, bool isStopped) { m_nodes[index]->isStopped = isStopped; }
    void setGroup(std::size_t index, int group) { m_nodes[index]->group = group; }

    void runFor(core::Duration duration)
    {
        runUntil([] { return false; }, duration);
    }

    /// Runs until `condition` holds; returns the elapsed time, or `limit` if it never did.
    core::Duration runUntil(const std::function<bool()> &condition, core::Duration limit)
    {
        const core::TimePoint start = m_now;
        core::TimePoint nextCheck = start;
        while (!m_events.empty() && m_events.top().at <= start + limit) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
            if (m_now < nextCheck)
                continue;
            nextCheck = m_now + std::chrono::milliseconds(20);
            if (condition())
                return m_now - start;
        }
        m_now = start + limit;
        return limit;
    }

private:
    struct Node
    {
        explicit Node(decisions::Membership value)
            : membership(std::move(value))
        { }
        decisions::Membership membership;
        bool isStopped = false;
        int group = 0;
    };
    struct Event
    {
        core::TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };
    using Facts = std::vector<decisions::Fact>;

    // Header fields of one request or reply, and the segments that open and close a connection.
    static constexpr std::uint64_t overheadBytes = 400;

    void at(core::Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_order, std::move(action)});
    }

    void scheduleTick(std::size_t index, core::Duration delay)
    {
        at(delay, [this, index] {
            Node &node = *m_nodes[index];
            if (!node.isStopped)
                for (const auto &command : node.membership.tick(m_now))
                    std::visit([&](const auto &typed) { execute(index, typed); }, command);
            scheduleTick(index, std::chrono::milliseconds(100));
        });
    }

    /// Transmits one message; calls `onReceived` on delivery unless the message is lost.
    void transmit(std::size_t from, std::size_t to, std::uint64_t bytes,
                  std::function<void()> onReceived)
    {
        ++m_messages;
        m_bytes += bytes + overheadBytes;
        if (std::uniform_real_distribution<>(0, 1)(m_random) < m_loss)
            return;
        const core::Duration delay(static_cast<std::int64_t>(500 + m_random() % 4500));
        at(delay, [this, from, to, onReceived = std::move(onReceived)] {
            if (!m_nodes[to]->isStopped && m_nodes[from]->group == m_nodes[to]->group)
                onReceived();
        });
    }

    void exchange(std::size_t from, std::size_t to, const std::function<void()> &onReply)
    {
        Facts facts = m_nodes[from]->membership.takeOutgoingFacts(host(to));
        const std::uint64_t bytes = serving::factsToJson(facts).dump().size();
        transmit(from, to, bytes, [this, from, to, facts = std::move(facts), onReply] {
            m_nodes[to]->membership.mergeFacts(facts, m_now);
            Facts reply = m_nodes[to]->membership.takeOutgoingFacts(host(from));
            const std::uint64_t size = serving::factsToJson(reply).dump().size();
            transmit(to, from, size, [this, from, reply = std::move(reply), onReply] {
                m_nodes[from]->membership.mergeFacts(reply, m_now);
                onReply();
            });
        });
    }

    void execute(std::size_t from, const decisions::SendProbe &command)
    {
        exchange(from, m_index.at(command.target), [this, from, number = command.number] {
            m_nodes[from]->membership.probeAnswered(number);
        });
    }

    void execute(std::size_t from, const decisions::SendIndirectProbe &command)
    {
        const std::size_t via = m_index.at(command.via);
        const std::size_t target = m_index.at(command.target);
        transmit(from, via, 0, [this, from, via, target, number = command.number] {
            exchange(via, target, [this, from, via, number] {
                transmit(via, from, 0,
                         [this, from, number] { m_nodes[from]->membership.probeAnswered(number); });
            });
        });
    }

    void execute(std::size_t from, const decisions::PushFacts &command)
    {
        exchange(from, m_index.at(command.target), [] {});
    }

    double m_loss;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<core::HostId, std::size_t> m_index;
    std::priority_queue<Event> m_events;
    core::TimePoint m_now;
    std::uint64_t m_order = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace jackdawlead::tests
