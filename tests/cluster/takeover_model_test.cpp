// A model of how one task passes from leader to leader, searched over all
// interleavings: two VMs that lead by turns, two endpoints, writes and orders
// that are lost, answered late or carried out late. It covers the rules of the
// protocol; the scheduler itself is played in random_fleet_test.
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
constexpr int last_term = 2;
constexpr int none = -1;

/// What a leader must not do without; a test leaves each out in turn.
struct rules {
    bool records_before_start{true};
    bool writes_prove_leadership{true};
    bool writes_expect_revision{true};
    bool looks_raise_token{true};
    bool stops_bar_run{true};
    bool records_end_before_acknowledging{true};
};

struct progress {
    int run{0};
    int endpoint{none};
    bool ended{false};
    auto operator<=>(const progress&) const = default;
};

enum class stage : char {
    follower,  ///< doesn't lead, or not yet
    idle,      ///< leads, the task waits
    recording, ///< a placement is on its way to the store
    starting,  ///< a start is on its way
    uncertain, ///< the run may be alive at its endpoint
    running,   ///< the run was seen alive
    ending,    ///< the end is on its way to the store
    finished,  ///< the end is stored
};

struct vm {
    stage at{stage::follower};
    int term{0};
    progress known;
    int known_revision{0};
    auto operator<=>(const vm&) const = default;
};

struct endpoint {
    int token{0};
    int running{0}; ///< the run that is alive, or 0
    int highest{0}; ///< highest run stopped or ended
    int ended{0};   ///< the run whose end is not acknowledged, or 0
    auto operator<=>(const endpoint&) const = default;
};

/// A write or a start that has been sent and not yet carried out.
struct message {
    bool is_write{false};
    int sender{0};
    int term{0};
    int expected_revision{0};
    progress content;
    auto operator<=>(const message&) const = default;
};

struct state {
    int leader{none}; ///< the VM whose key is in the store
    int leader_term{0};
    int term{0};
    progress stored;
    int stored_revision{0};
    std::array<vm, vms> at;
    std::array<endpoint, endpoints> fleet;
    std::multiset<message> under_way;
    int done_run{0}; ///< the run that ended as done, or 0
    bool broken{false};
    auto operator<=>(const state&) const = default;
};

class model {
  public:
    explicit model(rules in_force) : m_rules(in_force) {}

    struct outcome {
        std::size_t states{0};
        bool broken{false};
        bool finishes{false}; ///< some interleaving stores the end
    };

    outcome search() {
        outcome out;
        push({});
        while (!m_open.empty()) {
            state now = m_open.front();
            m_open.pop_front();
            out.states++;
            out.finishes = out.finishes || now.stored.ended;
            if (now.broken) {
                out.broken = true;
                return out;
            }
            expand(now);
        }
        return out;
    }

  private:
    void push(const state& next) {
        if (m_seen.insert(next).second) {
            m_open.push_back(next);
        }
    }

    void expand(const state& now) {
        change_leader(now);
        for (int v = 0; v < vms; ++v) {
            lead(now, v);
        }
        for (const message& sent : now.under_way) {
            state next = now;
            next.under_way.erase(next.under_way.find(sent));
            push(next); // lost
            if (sent.is_write) {
                carry_out_write(next, sent);
            } else {
                carry_out_start(next, sent);
            }
        }
        for (int e = 0; e < endpoints; ++e) {
            end_run(now, e);
        }
    }

    // The key goes with its lease, also while its holder still believes to
    // lead and its orders are under way.
    void change_leader(const state& now) {
        if (now.leader != none) {
            state next = now;
            next.leader = none;
            push(next);
            return;
        }
        if (now.term == last_term) {
            return;
        }
        for (int v = 0; v < vms; ++v) {
            state next = now;
            next.leader = v;
            next.term++;
            next.leader_term = next.term;
            vm& winner = next.at[static_cast<std::size_t>(v)];
            winner = {};
            winner.term = next.term;
            winner.known = next.stored;
            winner.known_revision = next.stored_revision;
            winner.at = stage_of(next.stored);
            push(next);
        }
    }

    static stage stage_of(const progress& stored) {
        if (stored.ended) {
            return stage::finished;
        }
        return stored.endpoint == none ? stage::idle : stage::uncertain;
    }

    void lead(const state& now, int v) {
        const vm& self = now.at[static_cast<std::size_t>(v)];
        switch (self.at) {
        case stage::idle:
            place(now, v);
            return;
        case stage::recording:
        case stage::ending:
            look_at_store(now, v);
            return;
        case stage::starting: {
            // No reply: the start may still be carried out.
            state next = now;
            next.at[static_cast<std::size_t>(v)].at = stage::uncertain;
            push(next);
            return;
        }
        case stage::uncertain:
        case stage::running:
            look_at_endpoint(now, v);
            return;
        case stage::follower:
        case stage::finished:
            return;
        }
    }

    void place(const state& now, int v) {
        for (int e = 0; e < endpoints; ++e) {
            state next = now;
            vm& self = next.at[static_cast<std::size_t>(v)];
            constexpr int runs_a_term = 10;
            int run =
                std::max(self.known.run, (self.term - 1) * runs_a_term) + 1;
            if (run > self.term * runs_a_term - runs_a_term + 2) {
                return; // two runs a term bound the search
            }
            progress placed{run, e, false};
            message write{true, v, self.term, self.known_revision, placed};
            self.known = placed;
            if (m_rules.records_before_start) {
                next.under_way.insert(write);
                self.at = stage::recording;
            } else {
                next.under_way.insert(write);
                send_start(next, v);
            }
            push(next);
        }
    }

    static void send_start(state& next, int v) {
        vm& self = next.at[static_cast<std::size_t>(v)];
        next.under_way.insert({false, v, self.term, 0, self.known});
        self.at = stage::starting;
    }

    // A write whose reply is lost is settled by reading; while it may still be
    // carried out, nothing follows from not finding it.
    void look_at_store(const state& now, int v) {
        const vm& self = now.at[static_cast<std::size_t>(v)];
        if (now.stored != self.known) {
            return;
        }
        state next = now;
        vm& then = next.at[static_cast<std::size_t>(v)];
        then.known_revision = next.stored_revision;
        if (then.known.ended) {
            then.at = stage::finished;
            acknowledge(next, then.known.endpoint, then.known.run);
        } else {
            send_start(next, v);
        }
        push(next);
    }

    static void acknowledge(state& next, int e, int run) {
        endpoint& there = next.fleet[static_cast<std::size_t>(e)];
        if (there.ended == run) {
            there.ended = 0;
        }
    }

    // A look with the leader's token; a run that is absent can't start later,
    // as its order carries a lower token or its number is barred.
    void look_at_endpoint(const state& now, int v) {
        state next = now;
        vm& self = next.at[static_cast<std::size_t>(v)];
        auto e = static_cast<std::size_t>(self.known.endpoint);
        endpoint& there = next.fleet[e];
        if (self.term < there.token) {
            self.at = stage::follower; // fenced
            push(next);
            return;
        }
        if (m_rules.looks_raise_token) {
            there.token = std::max(there.token, self.term);
        }
        if (there.ended == self.known.run) {
            message write{true,
                          v,
                          self.term,
                          self.known_revision,
                          {self.known.run, self.known.endpoint, true}};
            if (!m_rules.records_end_before_acknowledging) {
                acknowledge(next, self.known.endpoint, self.known.run);
            }
            self.known.ended = true;
            next.under_way.insert(write);
            self.at = stage::ending;
            push(next);
            return;
        }
        if (there.running == self.known.run) {
            self.at = stage::running;
            push(next);
            return;
        }
        if (m_rules.stops_bar_run) {
            there.highest = std::max(there.highest, self.known.run); // a stop
        }
        self.at = stage::idle;
        push(next);
    }

    void carry_out_write(state next, const message& sent) {
        bool leads =
            next.leader == sent.sender && next.leader_term == sent.term;
        bool allowed = leads || !m_rules.writes_prove_leadership;
        bool newest = next.stored_revision == sent.expected_revision ||
                      !m_rules.writes_expect_revision;
        if (!allowed || !newest) {
            return; // as if lost
        }
        next.broken = next.broken || (next.stored.ended && !sent.content.ended);
        next.stored = sent.content;
        next.stored_revision++;
        push(next);
    }

    void carry_out_start(state next, const message& sent) {
        auto e = static_cast<std::size_t>(sent.content.endpoint);
        endpoint& there = next.fleet[e];
        if (sent.term < there.token) {
            return;
        }
        if (sent.content.run <= there.highest) {
            return;
        }
        bool twice = next.done_run != 0;
        for (const endpoint& other : next.fleet) {
            twice = twice || other.running != 0;
        }
        next.broken = next.broken || twice;
        there.token = std::max(there.token, sent.term);
        there.running = sent.content.run;
        push(next);
    }

    void end_run(const state& now, int e) {
        if (now.fleet[static_cast<std::size_t>(e)].running == 0) {
            return;
        }
        state next = now;
        endpoint& there = next.fleet[static_cast<std::size_t>(e)];
        next.done_run = there.running;
        there.ended = there.running;
        there.highest = std::max(there.highest, there.running);
        there.running = 0;
        push(next);
    }

    rules m_rules;
    std::set<state> m_seen;
    std::deque<state> m_open;
};

} // namespace

BOOST_AUTO_TEST_SUITE(takeover_model)

BOOST_AUTO_TEST_CASE(no_interleaving_runs_a_task_twice_or_loses_its_end) {
    auto out = model({}).search();
    BOOST_TEST(!out.broken);
    BOOST_TEST(out.finishes);
    BOOST_TEST_MESSAGE(out.states << " states");
}

BOOST_AUTO_TEST_CASE(the_search_finds_what_the_rules_prevent) {
    const std::vector<std::function<void(rules&)>> left_out{
        [](rules& r) { r.records_before_start = false; },
        [](rules& r) { r.records_end_before_acknowledging = false; },
        [](rules& r) {
            r.writes_prove_leadership = false;
            r.writes_expect_revision = false;
        },
        [](rules& r) { r.stops_bar_run = false; },
    };
    for (std::size_t i = 0; i < left_out.size(); ++i) {
        rules without;
        left_out[i](without);
        BOOST_TEST(model(without).search().broken, "rule " << i);
    }
}

// The token fences a former leader's late starts; those of the same leader have
// its own token, and only the bar keeps them out.
BOOST_AUTO_TEST_CASE(the_bar_alone_keeps_late_starts_out) {
    rules no_token;
    no_token.looks_raise_token = false;
    BOOST_TEST(!model(no_token).search().broken);
}

BOOST_AUTO_TEST_SUITE_END()
