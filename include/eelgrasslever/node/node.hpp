/// @file
/// The decision logic of one entry VM as a state machine without I/O or clock.
///
/// Events arrive through the members below, each with the current time; actions
/// leave through `effects`. The daemon connects both to sockets, the randomised
/// tests to fakes.
#pragma once

#include "eelgrasslever/node/configurator.hpp"
#include "eelgrasslever/node/context.hpp"
#include "eelgrasslever/node/intent_recorder.hpp"
#include "eelgrasslever/node/job_coordinator.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/peering.hpp"
#include "eelgrasslever/node/request_handler.hpp"
#include "eelgrasslever/node/task_runner.hpp"

namespace eelgrasslever::node {

class node {
  public:
    node(const node_config& config, effects& effects);
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Submits a request or job; the answer goes to @p caller.
    void submit(const admission::request& request, caller_token caller,
                base::instant now);
    /// Waits for the answer to a request without submitting it.
    void wait_for_answer(const std::string& id, caller_token caller,
                         base::instant now);
    void cancel(const std::string& id, base::instant now);
    /// Removes a caller that has disconnected; the request continues.
    void detach_caller(const std::string& id, caller_token caller,
                       base::instant now);
    /// Tells the other members that this VM holds no claim and is exiting.
    void announce_departure() { m_peering.announce_departure(); }
    /// Writes a signed bundle to the store; see `configurator::roll_out`.
    void roll_out(const std::string& envelope_text,
                  std::function<void(base::result<void>)> done,
                  base::instant now);

    void on_endpoint_reply(const std::string& endpoint,
                           const endpoint::call& call,
                           const endpoint::reply& reply, base::instant now);
    void on_store_reply(const store::call& call, const store::reply& reply,
                        base::instant now);
    void on_peer_message(const std::string& from, const wire::message& message,
                         base::instant now);

    /// Performs everything that is due. It must be called at least every few
    /// tens of milliseconds.
    void tick(base::instant now);

    /// Begins a planned stop: new requests are refused and running ones finish.
    void drain(base::instant now);
    /// @return whether the process can exit: nothing waits to be stored and no
    /// claim is held.
    [[nodiscard]] bool drained() const;
    /// @return whether this VM can accept requests.
    [[nodiscard]] bool ready() const;

    [[nodiscard]] const context& state() const { return m_context; }
    [[nodiscard]] wire::heartbeat make_heartbeat(const std::string& member) {
        return m_peering.make_heartbeat(member);
    }
    /// @return the stage of a request and why it waits, as text for operators.
    [[nodiscard]] std::string explain(const std::string& id) const;

  private:
    void process_changes(bool all_endpoints = false);
    void detect_pause(base::instant now);

    context m_context;
    request_handler m_request_handler;
    task_runner m_task_runner;
    locator m_locator;
    intent_recorder m_intent_recorder;
    job_coordinator m_job_coordinator;
    peering m_peering;
    configurator m_configurator;
};

} // namespace eelgrasslever::node
