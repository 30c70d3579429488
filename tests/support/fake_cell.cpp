#include "fake_cell.hpp"

#include "eelgrasslever/base/json.hpp"

#include <iostream>
#include <utility>

namespace test_support {

using el::endpoint::call_kind;

namespace {

constexpr milliseconds tick_period{20};
constexpr milliseconds introduction_period{400};
constexpr milliseconds store_timeout{500};

std::string domain_name(int domain) {
    return "fd" + std::to_string(domain);
}

std::string domain_of(const std::string& vm) {
    return vm.substr(0, vm.find('-'));
}

} // namespace

/// One process of an entry VM: a node with its effects.
struct fake_cell::entry_process : el::node::effects {
    entry_process(fake_cell& owner, std::string vm,
                  const el::node::node_config& config,
                  std::uint64_t incarnation)
        : cell(owner), name(std::move(vm)), incarnation(incarnation),
          node(config, *this) {}

    void call_endpoint(const std::string& endpoint,
                       const el::endpoint::call& call) override {
        cell.send_to_endpoint(*this, endpoint, call);
    }
    void call_store(const el::store::call& call) override {
        cell.send_to_store(*this, call);
    }
    void send_to_peer(const std::string& member,
                      const el::wire::message& message) override {
        cell.send_to_peer(*this, member, message);
    }
    void send_answer(el::node::caller_token caller, const std::string& id,
                     const base::answer& value) override {
        auto found = callers.find(caller);
        if (found == callers.end()) {
            cell.audit().add_violation("request answered twice: " + id);
            return;
        }
        auto events = found->second;
        callers.erase(found);
        events.on_answer(id, value);
    }
    void send_accepted(el::node::caller_token caller,
                       const std::string& id) override {
        auto found = callers.find(caller);
        if (found != callers.end()) {
            auto events = found->second;
            callers.erase(found);
            if (events.on_accept) {
                events.on_accept(id);
            }
        }
    }
    void log(const el::node::log_line& line) override {
        std::string text = line.event + " at " + name;
        std::string id;
        for (const auto& [key, value] : line.fields) {
            text += " " + key + "=" + value;
            id = key == "id" ? value : id;
        }
        cell.print_trace(id, text);
    }
    void record_span(const el::node::span_record&) override {}
    void observe_queue_wait(int, milliseconds) override {}

    fake_cell& cell;
    std::string name;
    std::uint64_t incarnation;
    bool frozen{false};
    std::vector<std::function<void()>> deferred_work;
    std::uint64_t next_token{1};
    std::map<el::node::caller_token, caller_events> callers;
    instant next_introduction{};
    std::uint64_t highest_bundle{0};
    el::node::node node;
};

struct fake_cell::endpoint_process {
    std::unique_ptr<standins::endpoint::endpoint_state> state;
    bool frozen{false};
    std::vector<std::function<void()>> deferred_work;
    std::uint64_t boot{0};
};

fake_cell::fake_cell(const cell_shape& shape, std::uint64_t seed)
    : m_shape(shape), m_random(seed), m_author(el::bundle::generate_key_pair()),
      m_approver(el::bundle::generate_key_pair()) {
    for (int domain = 0; domain < shape.failure_domains; ++domain) {
        for (int i = 0; i < shape.entries_per_domain; ++i) {
            m_entry_names.push_back(domain_name(domain) + "-vm" +
                                    std::to_string(i));
        }
        for (int i = 0; i < shape.endpoints_per_domain; ++i) {
            std::string name = domain_name(domain) + "-ep" + std::to_string(i);
            m_endpoint_names.push_back(name);
            m_endpoints[name] = std::make_unique<endpoint_process>();
            boot_endpoint(name);
        }
    }
    publish_vm_list();
    for (const std::string& name : m_entry_names) {
        start_entry(name);
    }
}

fake_cell::~fake_cell() = default;

void fake_cell::schedule_at(instant when, std::function<void()> work) {
    m_events.push({when, m_next_order++, std::move(work)});
}

void fake_cell::run_for(milliseconds time) {
    instant until = m_now + time;
    while (!m_events.empty() && m_events.top().when <= until) {
        auto work = m_events.top().work;
        m_now = std::max(m_now, m_events.top().when);
        m_events.pop();
        m_steps++;
        work();
    }
    m_now = until;
}

milliseconds fake_cell::pick_delay() {
    constexpr std::uint64_t slow_one_in = 200;
    constexpr std::uint64_t slow_ms = 120;
    if (pick(slow_one_in) == 0) {
        return milliseconds(pick(slow_ms));
    }
    return milliseconds(pick(3));
}

void fake_cell::boot_endpoint(const std::string& name) {
    endpoint_process& process = *m_endpoints.at(name);
    standins::endpoint::endpoint_config config;
    config.name = name;
    config.capacity = {m_shape.slots, 16000, 65536, 0};
    config.boot = m_next_boot++;
    config.first_sequence = config.boot * 1'000'000;
    config.first_epoch = config.boot * 1'000'000;
    process.boot = config.boot;
    process.state = std::make_unique<standins::endpoint::endpoint_state>(
        config, [this, name](const standins::endpoint::audit_event& event) {
            using kind = standins::endpoint::audit_event::event_kind;
            if (event.kind == kind::start) {
                expire_overdue_tasks(name);
            }
            print_trace(event.task,
                        std::string(event.kind == kind::start ? "start at "
                                                              : "end at ") +
                            name + " " + el::endpoint::to_string(event.state));
            m_audit.on_endpoint_event(name, event);
        });
}

void fake_cell::print_trace(const std::string& id,
                            const std::string& text) const {
    bool is_traced =
        !m_trace.empty() && (id.empty() || id == m_trace || m_trace == "all");
    if (is_traced) {
        std::cerr << m_now.time_since_epoch().count() << " " << id << " "
                  << text << "\n";
    }
}

// Expires overdue leases at all other endpoints, so that a task that only a
// frozen endpoint still lists doesn't count as running.
void fake_cell::expire_overdue_tasks(const std::string& name) {
    for (auto& [other, process] : m_endpoints) {
        if (other != name && process->state) {
            process->state->advance(m_now);
        }
    }
}

void fake_cell::publish_vm_list(const std::set<std::string>& leaving) {
    nlohmann::json rows = nlohmann::json::array();
    auto add = [&](const std::string& name, const char* role) {
        rows.push_back(
            {{"name", name},
             {"role", role},
             {"failure_domain", domain_of(name)},
             {"rack", "r0"},
             {"address", name},
             {"peer_address", name},
             {"state", leaving.contains(name) ? "leaving" : "live"}});
    };
    for (const std::string& name : m_entry_names) {
        add(name, "entry");
    }
    for (const std::string& name : m_endpoint_names) {
        add(name, "endpoint");
    }
    nlohmann::json list = {{"version", ++m_vm_list_version}, {"vms", rows}};
    m_store.set_vm_list(list.dump());
}

bool fake_cell::is_running(const std::string& entry) const {
    return m_entries.contains(entry);
}

const el::node::node* fake_cell::node_of(const std::string& entry) const {
    auto found = m_entries.find(entry);
    return found == m_entries.end() ? nullptr : &found->second->node;
}

void fake_cell::start_entry(const std::string& name) {
    if (m_entries.contains(name)) {
        return;
    }
    std::uint64_t incarnation = m_next_incarnation++;
    el::node::node_config config;
    config.id = name + "@" + std::to_string(incarnation);
    config.failure_domain = domain_of(name);
    config.http_address = name;
    config.peer_address = name;
    config.seed = m_random();
    config.operators = {{"author", m_author.public_key},
                        {"approver", m_approver.public_key}};
    m_entries[name] =
        std::make_unique<entry_process>(*this, name, config, incarnation);
    schedule_after(milliseconds(pick(20)), [this, name] { tick(name); });
}

void fake_cell::run_in_entry(const std::string& entry,
                             std::uint64_t incarnation,
                             const std::function<void(entry_process&)>& work) {
    auto found = m_entries.find(entry);
    if (found == m_entries.end() || found->second->incarnation != incarnation) {
        return;
    }
    if (found->second->frozen) {
        found->second->deferred_work.push_back(
            [this, entry, incarnation, work] {
                run_in_entry(entry, incarnation, work);
            });
        return;
    }
    work(*found->second);
}

void fake_cell::tick(const std::string& name) {
    auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return;
    }
    std::uint64_t incarnation = found->second->incarnation;
    run_in_entry(name, incarnation, [this, incarnation](entry_process& self) {
        self.node.tick(m_now);
        if (m_now >= self.next_introduction) {
            self.next_introduction = m_now + introduction_period;
            send_introductions(self);
        }
        std::uint64_t version = self.node.state().bundle_version();
        if (version < self.highest_bundle) {
            m_audit.add_violation("bundle version decreased at " + self.name);
        }
        self.highest_bundle = std::max(self.highest_bundle, version);
        std::string name = self.name;
        if (self.node.drained()) {
            self.node.announce_departure();
            schedule_after(milliseconds(1), [this, name, incarnation] {
                run_in_entry(name, incarnation, [this, name](entry_process&) {
                    m_entries.erase(name);
                });
            });
            return;
        }
        schedule_after(tick_period, [this, name, incarnation] {
            auto again = m_entries.find(name);
            if (again != m_entries.end() &&
                again->second->incarnation == incarnation) {
                tick(name);
            }
        });
    });
}

void fake_cell::send_introductions(entry_process& from) {
    std::set<std::string> known;
    for (const auto& [id, member] :
         from.node.state().membership_view.members()) {
        known.insert(member.peer_address);
    }
    for (const std::string& name : m_entry_names) {
        if (name != from.name && !known.contains(name)) {
            auto heartbeat = from.node.make_heartbeat("");
            std::string sender = from.node.state().config.id;
            schedule_after(pick_delay(), [this, name, sender, heartbeat] {
                auto to = m_entries.find(name);
                bool is_reachable =
                    to != m_entries.end() &&
                    !is_cut(name, el::membership::vm_name_of(sender));
                if (is_reachable) {
                    run_in_entry(
                        name, to->second->incarnation,
                        [this, sender, heartbeat](entry_process& self) {
                            self.node.on_peer_message(sender, heartbeat, m_now);
                        });
                }
            });
        }
    }
}

bool fake_cell::is_cut(const std::string& a, const std::string& b) const {
    return m_cuts.contains({std::min(a, b), std::max(a, b)});
}

void fake_cell::set_cut(const std::string& a, const std::string& b, bool cut) {
    std::pair<std::string, std::string> key{std::min(a, b), std::max(a, b)};
    print_trace("", (cut ? "cut " : "restore ") + a + " " + b);
    if (cut) {
        m_cuts.insert(key);
    } else {
        m_cuts.erase(key);
    }
}

void fake_cell::set_domain_cut(int a, int b, bool cut) {
    for (const std::string& one : m_entry_names) {
        for (const std::string& other : m_entry_names) {
            if (domain_of(one) == domain_name(a) &&
                domain_of(other) == domain_name(b)) {
                set_cut(one, other, cut);
            }
        }
    }
}

void fake_cell::send_to_peer(entry_process& from, const std::string& member,
                             const el::wire::message& message) {
    std::string name = el::membership::vm_name_of(member);
    std::string sender = from.node.state().config.id;
    std::string sender_name = from.name;
    if (const auto* question =
            std::get_if<el::wire::locate_request>(&message)) {
        print_trace(question->request_id, sender + " queries " + member);
    } else if (const auto* reply =
                   std::get_if<el::wire::locate_response>(&message)) {
        print_trace(reply->request_id,
                    sender + " replies " +
                        std::to_string(static_cast<int>(reply->result)) +
                        " to " + member);
    } else if (const auto* ended =
                   std::get_if<el::wire::request_result>(&message)) {
        print_trace(ended->request_id,
                    sender + " sends the outcome to " + member);
    } else if (const auto* work = std::get_if<el::wire::forward>(&message)) {
        print_trace(work->request_id, sender + " forwards to " + member);
    }
    schedule_after(
        pick_delay(), [this, name, member, sender, sender_name, message] {
            auto to = m_entries.find(name);
            bool is_reachable = to != m_entries.end() &&
                                !is_cut(name, sender_name) &&
                                to->second->node.state().config.id == member;
            if (!is_reachable) {
                return;
            }
            run_in_entry(name, to->second->incarnation,
                         [this, sender, message](entry_process& self) {
                             self.node.on_peer_message(sender, message, m_now);
                         });
        });
}

void fake_cell::send_to_endpoint(entry_process& from,
                                 const std::string& endpoint,
                                 const el::endpoint::call& call) {
    std::string name = from.name;
    std::uint64_t incarnation = from.incarnation;
    auto answered = std::make_shared<bool>(false);
    auto deliver = [this, name, incarnation, endpoint, call,
                    answered](const el::endpoint::reply& reply) {
        run_in_entry(
            name, incarnation,
            [this, endpoint, call, answered, reply](entry_process& self) {
                if (*answered) {
                    return;
                }
                *answered = true;
                self.node.on_endpoint_reply(endpoint, call, reply, m_now);
            });
    };
    schedule_after(call.timeout, [deliver] { deliver({}); });
    constexpr std::uint64_t late_ms = 6000;
    bool is_late = pick(100) < m_late_call_percent;
    milliseconds latency = is_late ? milliseconds(pick(late_ms)) : pick_delay();
    schedule_after(latency, [this, name, endpoint, call, deliver] {
        if (is_cut(name, endpoint)) {
            return;
        }
        auto respond = [this, name, endpoint,
                        deliver](const el::endpoint::reply& reply) {
            if (is_cut(name, endpoint)) {
                return;
            }
            schedule_after(pick_delay(), [deliver, reply] { deliver(reply); });
        };
        serve_call(endpoint, call, respond, m_now + call.wait);
    });
}

void fake_cell::serve_call(
    const std::string& endpoint, const el::endpoint::call& call,
    const std::function<void(el::endpoint::reply)>& respond,
    instant poll_until) {
    endpoint_process& to = *m_endpoints.at(endpoint);
    if (!to.state) {
        return;
    }
    std::uint64_t boot = to.boot;
    auto again = [this, endpoint, call, respond, poll_until, boot] {
        if (m_endpoints.at(endpoint)->boot == boot) {
            serve_call(endpoint, call, respond, poll_until);
        }
    };
    if (to.frozen) {
        to.deferred_work.push_back(again);
        return;
    }
    el::endpoint::call sent = call;
    if (!m_epoch_guard && call.kind == call_kind::start) {
        // Models a faulty endpoint that accepts any start: the call gets the
        // epoch of a fresh claim.
        el::endpoint::call claim = call;
        claim.kind = call_kind::claim;
        claim.claim_ttl = milliseconds(1000);
        sent.epoch = to.state->handle(claim, m_now).epoch;
    }
    el::endpoint::reply reply = to.state->handle(sent, m_now);
    bool must_wait = call.kind == call_kind::poll && reply.accepted &&
                     reply.reports.empty() && m_now < poll_until;
    if (must_wait) {
        constexpr milliseconds poll_period{10};
        schedule_after(poll_period, again);
        return;
    }
    respond(reply);
}

void fake_cell::send_to_store(entry_process& from,
                              const el::store::call& call) {
    std::string name = from.name;
    std::uint64_t incarnation = from.incarnation;
    auto deliver = [this, name, incarnation,
                    call](const el::store::reply& reply) {
        run_in_entry(name, incarnation,
                     [this, call, reply](entry_process& self) {
                         self.node.on_store_reply(call, reply, m_now);
                     });
    };
    schedule_after(pick_delay(), [this, name, call, deliver] {
        if (m_store_down || is_cut(name, "platform")) {
            schedule_after(store_timeout, [deliver] { deliver({}); });
            return;
        }
        el::store::reply reply = m_store.serve(call);
        bool is_reply_lost = call.kind == el::store::call_kind::write &&
                             m_store_replies_to_lose > 0;
        if (is_reply_lost) {
            m_store_replies_to_lose--;
            schedule_after(store_timeout, [deliver] { deliver({}); });
            return;
        }
        // A watch is answered within its wait time, here after a tenth of it.
        milliseconds wait = call.wait / 10;
        schedule_after(pick_delay() + wait,
                       [deliver, reply] { deliver(reply); });
    });
}

void fake_cell::submit(const std::string& entry,
                       const el::admission::request& request,
                       caller_events caller) {
    print_trace(request.id,
                "submitted to " + entry + " attempt mark " +
                    std::to_string(static_cast<int>(request.attempt)));
    schedule_after(
        pick_delay(), [this, entry, request, caller = std::move(caller)] {
            auto to = m_entries.find(entry);
            if (to == m_entries.end()) {
                return;
            }
            auto hand_in = [this, request, caller](entry_process& self) {
                auto token = self.next_token++;
                self.callers[token] = caller;
                self.node.submit(request, token, m_now);
            };
            run_in_entry(entry, to->second->incarnation, hand_in);
        });
}

void fake_cell::wait_for_answer(const std::string& entry, const std::string& id,
                                caller_events caller) {
    auto to = m_entries.find(entry);
    if (to == m_entries.end()) {
        return;
    }
    run_in_entry(entry, to->second->incarnation,
                 [this, id, caller = std::move(caller)](entry_process& self) {
                     auto token = self.next_token++;
                     self.callers[token] = caller;
                     self.node.wait_for_answer(id, token, m_now);
                 });
}

void fake_cell::cancel(const std::string& entry, const std::string& id) {
    auto to = m_entries.find(entry);
    if (to != m_entries.end()) {
        run_in_entry(
            entry, to->second->incarnation,
            [this, id](entry_process& self) { self.node.cancel(id, m_now); });
    }
}

void fake_cell::roll_out(const std::string& entry, std::uint64_t version,
                         const std::function<void(base::result<void>)>& done) {
    nlohmann::json teams = nlohmann::json::array();
    for (const char* name : {"doors", "office", "visitors"}) {
        bool is_trial = std::string(name) == "visitors";
        teams.push_back({{"name", name},
                         {"tier", is_trial ? "trial" : "paying"},
                         {"quota_slots", 1000}});
    }
    nlohmann::json text = {{"version", version}, {"teams", teams}};
    auto authored =
        el::bundle::sign_bundle(text.dump(), "author", m_author.secret_key);
    auto approved = el::bundle::approve_bundle(*authored, "approver",
                                               m_approver.secret_key);
    std::string envelope = el::bundle::serialize(*approved);
    auto to = m_entries.find(entry);
    if (to != m_entries.end()) {
        run_in_entry(entry, to->second->incarnation,
                     [this, envelope, done](entry_process& self) {
                         self.node.roll_out(envelope, done, m_now);
                     });
    }
}

void fake_cell::kill_entry(const std::string& entry) {
    print_trace("", "kill " + entry);
    m_entries.erase(entry);
}

void fake_cell::freeze_entry(const std::string& entry, milliseconds time) {
    auto found = m_entries.find(entry);
    if (found == m_entries.end() || found->second->frozen) {
        return;
    }
    found->second->frozen = true;
    print_trace("", "freeze " + entry + " " + std::to_string(time.count()));
    std::uint64_t incarnation = found->second->incarnation;
    schedule_after(time, [this, entry, incarnation] {
        auto again = m_entries.find(entry);
        if (again == m_entries.end() ||
            again->second->incarnation != incarnation) {
            return;
        }
        again->second->frozen = false;
        auto waiting = std::move(again->second->deferred_work);
        again->second->deferred_work.clear();
        for (auto& work : waiting) {
            work();
        }
    });
}

void fake_cell::drain_entry(const std::string& entry) {
    print_trace("", "drain " + entry);
    auto found = m_entries.find(entry);
    if (found != m_entries.end()) {
        run_in_entry(entry, found->second->incarnation,
                     [this](entry_process& self) { self.node.drain(m_now); });
    }
}

void fake_cell::restart_endpoint(const std::string& endpoint,
                                 milliseconds down) {
    endpoint_process& process = *m_endpoints.at(endpoint);
    if (!process.state || process.frozen) {
        return;
    }
    print_trace("", "restart " + endpoint + " " + std::to_string(down.count()));
    process.state.reset();
    process.boot = 0;
    m_audit.on_endpoint_killed(endpoint);
    schedule_after(down, [this, endpoint] { boot_endpoint(endpoint); });
}

void fake_cell::freeze_endpoint(const std::string& endpoint,
                                milliseconds time) {
    endpoint_process& process = *m_endpoints.at(endpoint);
    if (!process.state || process.frozen) {
        return;
    }
    process.frozen = true;
    print_trace("", "freeze " + endpoint + " " + std::to_string(time.count()));
    schedule_after(time, [this, endpoint] {
        endpoint_process& again = *m_endpoints.at(endpoint);
        again.frozen = false;
        again.state->advance(m_now);
        auto waiting = std::move(again.deferred_work);
        again.deferred_work.clear();
        for (auto& work : waiting) {
            work();
        }
    });
}

standins::endpoint::faults&
fake_cell::endpoint_faults(const std::string& endpoint) {
    return m_endpoints.at(endpoint)->state->injected_faults();
}

} // namespace test_support
