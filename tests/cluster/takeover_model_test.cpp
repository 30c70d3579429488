// Exhaustive search of a model of one task across changes of the leader: two
// VMs that lead in turn, two endpoints, and writes and orders that are lost,
// answered late or carried out late. A task that runs twice or a completion
// that is lost shows up as a violation. The model covers the rules of the
// protocol; random_fleet_test covers the scheduler itself.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace {

constexpr int vms = 2;
constexpr int endpoints = 2;
constexpr int max_term = 2;
constexpr int none = -1;

/// Rules that the leader follows. A test disables each one in turn.
struct rules {
    bool records_before_start{true};
    bool writes_prove_leadership{true};
    bool writes_expect_revision{true};
    bool queries_raise_token{true};
    bool stops_block_run{true};
    bool records_completion_before_acknowledging{true};
};

struct progress {
    int run{0};
    int endpoint{none};
    bool ended{false};
    auto operator<=>(const progress&) const = default;
};

enum class leader_phase : char {
    follower,  ///< does not lead
    idle,      ///< leads; the task waits
    recording, ///< the write of a placement is in flight
    starting,  ///< a start order is in flight
    uncertain, ///< the run may be alive on its endpoint
    running,   ///< the endpoint has reported the run as alive
    ending,    ///< the write of the completion is in flight
    finished,  ///< the completion is stored
};

struct vm {
    leader_phase phase{leader_phase::follower};
    int term{0};
    progress known;
    int known_revision{0};
    auto operator<=>(const vm&) const = default;
};

struct endpoint {
    int token{0};
    int running_run{0};        ///< the run that is alive, or 0
    int highest_ended_run{0};  ///< highest run that was stopped or has ended
    int unacknowledged_run{0}; ///< run with an unacknowledged completion, or 0
    auto operator<=>(const endpoint&) const = default;
};

/// A write or a start order that was sent and is not carried out yet.
struct message {
    bool is_write{false};
    int sender{0};
    int term{0};
    int expected_revision{0};
    progress content;
    auto operator<=>(const message&) const = default;
};

struct state {
    int leader{none}; ///< the VM that holds the leader key in the store
    int leader_term{0};
    int term{0};
    progress stored;
    int stored_revision{0};
    std::array<vm, vms> members;
    std::array<endpoint, endpoints> endpoint_states;
    std::multiset<message> in_flight;
    int done_run{0}; ///< the run that has completed, or 0
    bool violated{false};
    auto operator<=>(const state&) const = default;
};

class model {
  public:
    explicit model(rules active_rules) : m_rules(active_rules) {}

    struct search_result {
        std::size_t states{0};
        bool violated{false};
        bool can_finish{false}; ///< some interleaving stores the completion
    };

    search_result search() {
        search_result result;
        visit({});
        while (!m_unexplored.empty()) {
            state now = m_unexplored.front();
            m_unexplored.pop_front();
            result.states++;
            result.can_finish = result.can_finish || now.stored.ended;
            if (now.violated) {
                result.violated = true;
                return result;
            }
            expand(now);
        }
        return result;
    }

  private:
    void visit(const state& next) {
        if (m_visited.insert(next).second) {
            m_unexplored.push_back(next);
        }
    }

    void expand(const state& now) {
        change_leader(now);
        for (int v = 0; v < vms; ++v) {
            step_leader(now, v);
        }
        for (const message& sent : now.in_flight) {
            state next = now;
            next.in_flight.erase(next.in_flight.find(sent));
            visit(next); // the message is lost
            if (sent.is_write) {
                apply_write(next, sent);
            } else {
                apply_start(next, sent);
            }
        }
        for (int e = 0; e < endpoints; ++e) {
            finish_run(now, e);
        }
    }

    // The leader key expires with its lease, even while its holder still acts
    // as the leader and its orders are in flight.
    void change_leader(const state& now) {
        if (now.leader != none) {
            state next = now;
            next.leader = none;
            visit(next);
            return;
        }
        if (now.term == max_term) {
            return;
        }
        for (int v = 0; v < vms; ++v) {
            state next = now;
            next.leader = v;
            next.term++;
            next.leader_term = next.term;
            vm& winner = next.members[static_cast<std::size_t>(v)];
            winner = {};
            winner.term = next.term;
            winner.known = next.stored;
            winner.known_revision = next.stored_revision;
            winner.phase = phase_of(next.stored);
            visit(next);
        }
    }

    static leader_phase phase_of(const progress& stored) {
        if (stored.ended) {
            return leader_phase::finished;
        }
        return stored.endpoint == none ? leader_phase::idle
                                       : leader_phase::uncertain;
    }

    void step_leader(const state& now, int v) {
        const vm& self = now.members[static_cast<std::size_t>(v)];
        switch (self.phase) {
        case leader_phase::idle:
            place_task(now, v);
            return;
        case leader_phase::recording:
        case leader_phase::ending:
            read_store(now, v);
            return;
        case leader_phase::starting: {
            // Without a reply, the start may still be carried out.
            state next = now;
            next.members[static_cast<std::size_t>(v)].phase =
                leader_phase::uncertain;
            visit(next);
            return;
        }
        case leader_phase::uncertain:
        case leader_phase::running:
            query_endpoint(now, v);
            return;
        case leader_phase::follower:
        case leader_phase::finished:
            return;
        }
    }

    void place_task(const state& now, int v) {
        for (int e = 0; e < endpoints; ++e) {
            state next = now;
            vm& self = next.members[static_cast<std::size_t>(v)];
            constexpr int runs_per_term = 10;
            int run =
                std::max(self.known.run, (self.term - 1) * runs_per_term) + 1;
            if (run > self.term * runs_per_term - runs_per_term + 2) {
                return; // two runs per term limit the search
            }
            progress placed{run, e, false};
            message write{true, v, self.term, self.known_revision, placed};
            self.known = placed;
            if (m_rules.records_before_start) {
                next.in_flight.insert(write);
                self.phase = leader_phase::recording;
            } else {
                next.in_flight.insert(write);
                send_start(next, v);
            }
            visit(next);
        }
    }

    static void send_start(state& next, int v) {
        vm& self = next.members[static_cast<std::size_t>(v)];
        next.in_flight.insert({false, v, self.term, 0, self.known});
        self.phase = leader_phase::starting;
    }

    // Reading the store resolves a write whose reply was lost. Not finding the
    // write proves nothing while it may still be carried out.
    void read_store(const state& now, int v) {
        const vm& self = now.members[static_cast<std::size_t>(v)];
        if (now.stored != self.known) {
            return;
        }
        state next = now;
        vm& updated = next.members[static_cast<std::size_t>(v)];
        updated.known_revision = next.stored_revision;
        if (updated.known.ended) {
            updated.phase = leader_phase::finished;
            acknowledge(next, updated.known.endpoint, updated.known.run);
        } else {
            send_start(next, v);
        }
        visit(next);
    }

    static void acknowledge(state& next, int e, int run) {
        endpoint& target = next.endpoint_states[static_cast<std::size_t>(e)];
        if (target.unacknowledged_run == run) {
            target.unacknowledged_run = 0;
        }
    }

    // A query carries the leader's token. A run that is absent can't start
    // later, because its order has a lower token or its number is blocked.
    void query_endpoint(const state& now, int v) {
        state next = now;
        vm& self = next.members[static_cast<std::size_t>(v)];
        auto e = static_cast<std::size_t>(self.known.endpoint);
        endpoint& target = next.endpoint_states[e];
        if (self.term < target.token) {
            self.phase = leader_phase::follower; // fenced
            visit(next);
            return;
        }
        if (m_rules.queries_raise_token) {
            target.token = std::max(target.token, self.term);
        }
        if (target.unacknowledged_run == self.known.run) {
            message write{true,
                          v,
                          self.term,
                          self.known_revision,
                          {self.known.run, self.known.endpoint, true}};
            if (!m_rules.records_completion_before_acknowledging) {
                acknowledge(next, self.known.endpoint, self.known.run);
            }
            self.known.ended = true;
            next.in_flight.insert(write);
            self.phase = leader_phase::ending;
            visit(next);
            return;
        }
        if (target.running_run == self.known.run) {
            self.phase = leader_phase::running;
            visit(next);
            return;
        }
        if (m_rules.stops_block_run) {
            target.highest_ended_run =
                std::max(target.highest_ended_run, self.known.run); // stopped
        }
        self.phase = leader_phase::idle;
        visit(next);
    }

    void apply_write(state next, const message& sent) {
        bool leads =
            next.leader == sent.sender && next.leader_term == sent.term;
        bool allowed = leads || !m_rules.writes_prove_leadership;
        bool newest = next.stored_revision == sent.expected_revision ||
                      !m_rules.writes_expect_revision;
        if (!allowed || !newest) {
            return; // rejected, as if the message were lost
        }
        next.violated =
            next.violated || (next.stored.ended && !sent.content.ended);
        next.stored = sent.content;
        next.stored_revision++;
        visit(next);
    }

    void apply_start(state next, const message& sent) {
        auto e = static_cast<std::size_t>(sent.content.endpoint);
        endpoint& target = next.endpoint_states[e];
        if (sent.term < target.token) {
            return;
        }
        if (sent.content.run <= target.highest_ended_run) {
            return;
        }
        bool runs_twice = next.done_run != 0;
        for (const endpoint& other : next.endpoint_states) {
            runs_twice = runs_twice || other.running_run != 0;
        }
        next.violated = next.violated || runs_twice;
        target.token = std::max(target.token, sent.term);
        target.running_run = sent.content.run;
        visit(next);
    }

    void finish_run(const state& now, int e) {
        if (now.endpoint_states[static_cast<std::size_t>(e)].running_run == 0) {
            return;
        }
        state next = now;
        endpoint& target = next.endpoint_states[static_cast<std::size_t>(e)];
        next.done_run = target.running_run;
        target.unacknowledged_run = target.running_run;
        target.highest_ended_run =
            std::max(target.highest_ended_run, target.running_run);
        target.running_run = 0;
        visit(next);
    }

    rules m_rules;
    std::set<state> m_visited;
    std::deque<state> m_unexplored;
};

} // namespace

BOOST_AUTO_TEST_SUITE(takeover_model)

BOOST_AUTO_TEST_CASE(no_interleaving_reruns_or_loses_a_task) {
    auto result = model({}).search();
    BOOST_TEST(!result.violated);
    BOOST_TEST(result.can_finish);
    BOOST_TEST_MESSAGE(result.states << " states");
}

BOOST_AUTO_TEST_CASE(disabling_a_rule_causes_a_violation) {
    const std::vector<std::function<void(rules&)>> disable_rule{
        [](rules& r) { r.records_before_start = false; },
        [](rules& r) { r.records_completion_before_acknowledging = false; },
        [](rules& r) {
            r.writes_prove_leadership = false;
            r.writes_expect_revision = false;
        },
        [](rules& r) { r.stops_block_run = false; },
    };
    for (std::size_t i = 0; i < disable_rule.size(); ++i) {
        rules remaining;
        disable_rule[i](remaining);
        BOOST_TEST(model(remaining).search().violated, "rule " << i);
    }
}

// The token rejects late starts of a previous leader. Late starts of the same
// leader carry its current token; only blocking stopped run numbers rejects
// them.
BOOST_AUTO_TEST_CASE(blocking_stopped_runs_suffices_without_tokens) {
    rules without_tokens;
    without_tokens.queries_raise_token = false;
    BOOST_TEST(!model(without_tokens).search().violated);
}

BOOST_AUTO_TEST_SUITE_END()
