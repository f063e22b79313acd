#pragma once

#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <utility>

namespace jackdawlead::net {

/// Carries typed messages to one receiving task. A message is delivered from the loop, never inside
/// send(), so that the sender's state is settled first. Messages to a destroyed receiver are
/// dropped. Thread safety: the loop's thread only.
template <typename Message> class Channel
{
public:
    using Receiver = std::function<void(Message)>;

    Channel(EventLoop &loop, Receiver receiver)
        : m_loop(loop)
        , m_receiver(std::make_shared<Receiver>(std::move(receiver)))
    { }

    void send(Message message)
    {
        m_loop.post([weak = std::weak_ptr<Receiver>(m_receiver),
                     held = std::make_shared<Message>(std::move(message))] {
            if (const auto receiver = weak.lock())
                (*receiver)(std::move(*held));
        });
    }

private:
    EventLoop &m_loop;
    std::shared_ptr<Receiver> m_receiver;
};

} // namespace jackdawlead::net
