/// @file
/// Message passing between tasks. A task owns its sockets and state; other
/// tasks access it only by posting messages to its mailbox.
#pragma once

#include "eelgrasslever/kernel/loop.hpp"

#include <deque>
#include <functional>
#include <utility>

namespace eelgrasslever::kernel {

/// A FIFO queue of messages that the event loop delivers to a handler. `post`
/// never invokes the handler directly. Messages that are still queued when the
/// mailbox is destroyed are dropped.
template <typename Message>
class mailbox {
  public:
    using handler = std::function<void(Message&&)>;

    mailbox(loop& event_loop, handler on_message)
        : m_state(std::make_shared<state>(event_loop, std::move(on_message))) {}

    ~mailbox() { m_state->on_message = nullptr; }
    mailbox(const mailbox&) = delete;
    mailbox& operator=(const mailbox&) = delete;

    /// Queues @p message for delivery after the current callback.
    void post(Message message) {
        m_state->queue.push_back(std::move(message));
        if (m_state->scheduled) {
            return;
        }
        m_state->scheduled = true;
        m_state->event_loop.defer([shared = m_state] { drain(*shared); });
    }

  private:
    struct state {
        state(loop& receiver_loop, handler receiver)
            : event_loop(receiver_loop), on_message(std::move(receiver)) {}
        loop& event_loop;
        handler on_message;
        std::deque<Message> queue;
        bool scheduled{false};
    };

    static void drain(state& self) {
        self.scheduled = false;
        std::deque<Message> batch;
        batch.swap(self.queue);
        for (Message& message : batch) {
            if (!self.on_message) {
                return;
            }
            self.on_message(std::move(message));
        }
    }

    std::shared_ptr<state> m_state;
};

} // namespace eelgrasslever::kernel
