#include "random_run.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace test_support {

using base::outcome;
using el::admission::attempt_mark;
using el::admission::request;

namespace {

constexpr int most_sendings = 5;
constexpr milliseconds request_timeout{8000};
constexpr milliseconds patience{9000};
constexpr milliseconds job_deadline{90000};

class run {
  public:
    explicit run(const random_run_options& options)
        : m_options(options), m_cell(options.shape, options.seed) {
        m_cell.set_epoch_guard(options.epoch_guard);
        m_cell.trace(options.trace);
    }

    random_run_result go() {
        m_cell.run_for(milliseconds(500));
        roll_out_next();
        m_cell.run_for(milliseconds(2500));
        m_load_until = m_cell.now() + m_options.load_time;
        next_arrival();
        next_fault();
        m_cell.run_for(m_options.load_time);
        heal();
        m_cell.run_for(m_options.settle_time);
        ask_for_jobs();
        m_cell.run_for(milliseconds(5000));
        m_cell.audit().finish();
        return result();
    }

  private:
    struct sending {
        request work;
        int number{0};
        bool answered{false};
        bool final{false};
    };
    using sending_ptr = std::shared_ptr<sending>;

    milliseconds between(int low, int high) {
        return milliseconds(
            low + static_cast<int>(
                      m_cell.pick(static_cast<std::uint64_t>(high - low + 1))));
    }
    const std::string& any_of(const std::vector<std::string>& all) {
        return all[m_cell.pick(all.size())];
    }

    void next_arrival() {
        if (m_cell.now() >= m_load_until) {
            return;
        }
        arrive();
        m_cell.after(between(5, 60), [this] { next_arrival(); });
    }

    request make_request() {
        request out;
        out.id = "r" + std::to_string(m_next_id++);
        out.team = "doors";
        out.declared_run = between(5, 200);
        out.timeout = request_timeout;
        return out;
    }

    void arrive() {
        request work = make_request();
        std::uint64_t kind = m_cell.pick(100);
        if (kind < 60) {
            work.attempt = attempt_mark::first;
        } else if (kind < 75) {
            work.team = "office";
            work.repeatable = false;
        } else if (kind < 85) {
            work.team = "visitors";
            work.attempt = attempt_mark::first;
            work.declared_run = between(100, 3000);
        } else if (kind < 90) {
            submit_twice_at_once(work);
            return;
        } else if (kind < 93) {
            submit_job(work);
            return;
        }
        auto first = std::make_shared<sending>();
        first->work = work;
        send(first);
    }

    // Both unmarked: the caller's network sent it through two entry VMs.
    void submit_twice_at_once(const request& work) {
        for (int i = 0; i < 2; ++i) {
            auto one = std::make_shared<sending>();
            one->work = work;
            send(one);
        }
    }

    void submit_job(request work) {
        bool gang = m_cell.pick(3) == 0;
        work.kind = gang ? "gang" : "batch";
        work.team = "office";
        work.tasks = gang ? 3 : 20;
        work.timeout = job_deadline;
        auto one = std::make_shared<sending>();
        one->work = work;
        send(one);
    }

    void send(const sending_ptr& at) {
        at->number++;
        at->answered = false;
        if (at->number > 1 && at->work.attempt == attempt_mark::first) {
            at->work.attempt = attempt_mark::retry;
        }
        int number = at->number;
        caller_events caller;
        caller.on_answer = [this, at, number](const std::string& id,
                                              const base::answer& value) {
            if (at->number == number) {
                on_answer(at, id, value);
            }
        };
        caller.on_accept = [this, at](const std::string& id) {
            at->answered = true;
            m_jobs.insert(id);
        };
        m_waiting.insert(at->work.id);
        m_cell.submit(any_of(m_cell.entries()), at->work, caller);
        m_cell.after(patience, [this, at, number] {
            bool silent = !at->answered && at->number == number;
            if (silent && at->number < most_sendings) {
                send(at);
            }
        });
    }

    void on_answer(const sending_ptr& at, const std::string& id,
                   const base::answer& value) {
        at->answered = true;
        m_waiting.erase(id);
        m_cell.audit().on_answer(id, value);
        bool open = value.result == outcome::not_run ||
                    value.result == outcome::unknown;
        bool again = open && value.retry_after && m_cell.pick(2) == 0 &&
                     at->number < most_sendings;
        if (again) {
            m_cell.audit().on_sent_again(id);
            m_cell.after(*value.retry_after, [this, at] { send(at); });
        }
    }

    void roll_out_next() {
        std::uint64_t version = ++m_bundle_version;
        m_cell.roll_out(any_of(m_cell.entries()), version,
                        [this, version](const base::result<void>& done) {
                            if (!done && m_bundle_version == version) {
                                m_bundle_version--;
                            }
                        });
    }

    void next_fault() {
        if (m_cell.now() >= m_load_until) {
            return;
        }
        bring_fault();
        m_cell.after(between(500, 4000), [this] { next_fault(); });
    }

    void bring_fault() {
        using member = void (run::*)();
        struct choice {
            bool fault_set::*enabled;
            member bring;
        };
        static const choice choices[] = {
            {&fault_set::entry_kills, &run::kill_an_entry},
            {&fault_set::entry_freezes, &run::freeze_an_entry},
            {&fault_set::endpoint_restarts, &run::restart_an_endpoint},
            {&fault_set::endpoint_freezes, &run::freeze_an_endpoint},
            {&fault_set::member_cuts, &run::cut_members},
            {&fault_set::domain_cuts, &run::cut_domains},
            {&fault_set::endpoint_cuts, &run::cut_an_endpoint},
            {&fault_set::store_faults, &run::trouble_the_store},
            {&fault_set::late_calls, &run::delay_calls},
            {&fault_set::planned_stops, &run::stop_an_entry},
            {&fault_set::cancellations, &run::cancel_some}};
        const choice& chosen =
            choices[m_cell.pick(sizeof choices / sizeof choices[0])];
        if (m_options.faults.*chosen.enabled) {
            (this->*chosen.bring)();
        }
    }

    void kill_an_entry() {
        std::string name = any_of(m_cell.entries());
        m_cell.kill_entry(name);
        m_cell.after(between(10, 8000),
                     [this, name] { m_cell.start_entry(name); });
    }
    void freeze_an_entry() {
        m_cell.freeze_entry(any_of(m_cell.entries()), between(200, 12000));
    }
    void restart_an_endpoint() {
        m_cell.restart_endpoint(any_of(m_cell.endpoints()), between(10, 5000));
    }
    void freeze_an_endpoint() {
        m_cell.freeze_endpoint(any_of(m_cell.endpoints()), between(200, 12000));
    }
    void cut(const std::string& a, const std::string& b, milliseconds time) {
        m_cell.set_cut(a, b, true);
        m_cell.after(time, [this, a, b] { m_cell.set_cut(a, b, false); });
    }
    void cut_members() {
        cut(any_of(m_cell.entries()), any_of(m_cell.entries()),
            between(500, 15000));
    }
    void cut_domains() {
        m_cell.set_domain_cut(0, 1, true);
        m_cell.after(between(500, 15000),
                     [this] { m_cell.set_domain_cut(0, 1, false); });
    }
    void cut_an_endpoint() {
        cut(any_of(m_cell.entries()), any_of(m_cell.endpoints()),
            between(500, 15000));
    }
    void trouble_the_store() {
        if (m_cell.pick(2) == 0) {
            m_cell.lose_store_replies(static_cast<int>(m_cell.pick(6)));
            return;
        }
        m_cell.set_store_down(true);
        m_cell.after(between(500, 15000),
                     [this] { m_cell.set_store_down(false); });
    }
    void delay_calls() {
        m_cell.set_late_percent(20);
        m_cell.after(between(500, 5000),
                     [this] { m_cell.set_late_percent(0); });
    }
    void stop_an_entry() {
        std::string name = any_of(m_cell.entries());
        m_cell.drain_entry(name);
        m_cell.after(between(4000, 12000), [this, name] {
            m_cell.kill_entry(name);
            m_cell.start_entry(name);
        });
    }
    void cancel_some() {
        for (int i = 0; i < 5; ++i) {
            std::uint64_t back = 1 + m_cell.pick(20);
            if (back < m_next_id) {
                m_cell.cancel(any_of(m_cell.entries()),
                              "r" + std::to_string(m_next_id - back));
            }
        }
    }

    void heal() {
        m_cell.after(milliseconds(16000), [this] {
            m_cell.set_store_down(false);
            m_cell.set_late_percent(0);
            m_cell.lose_store_replies(0);
            for (const std::string& name : m_cell.entries()) {
                m_cell.start_entry(name);
            }
        });
    }

    void ask_for_jobs() {
        for (const std::string& id : m_jobs) {
            caller_events caller;
            caller.on_answer = [this](const std::string& asked,
                                      const base::answer& value) {
                m_jobs_ended.insert(asked);
                m_cell.audit().on_answer(asked, value);
            };
            m_cell.wait_for(any_of(m_cell.entries()), id, caller);
        }
    }

    random_run_result result() {
        random_run_result out;
        out.violations = m_cell.audit().violations();
        out.steps = m_cell.steps();
        out.requests = m_next_id - 1;
        out.unanswered = 0;
        for (const std::string& id : m_waiting) {
            out.unanswered += m_jobs.contains(id) ? 0 : 1;
        }
        out.starts = m_cell.audit().starts();
        out.completed = m_cell.audit().answers_of(outcome::completed);
        out.failed = m_cell.audit().answers_of(outcome::failed);
        out.not_run = m_cell.audit().answers_of(outcome::not_run);
        out.unknown = m_cell.audit().answers_of(outcome::unknown);
        out.jobs_accepted = m_jobs.size();
        out.jobs_ended = m_jobs_ended.size();
        std::set_difference(m_jobs.begin(), m_jobs.end(), m_jobs_ended.begin(),
                            m_jobs_ended.end(),
                            std::back_inserter(out.open_jobs));
        return out;
    }

    random_run_options m_options;
    fake_cell m_cell;
    instant m_load_until{};
    std::uint64_t m_next_id{1};
    std::uint64_t m_bundle_version{0};
    std::set<std::string> m_waiting;
    std::set<std::string> m_jobs;
    std::set<std::string> m_jobs_ended;
};

} // namespace

random_run_result run_randomly(const random_run_options& options) {
    return run(options).go();
}

} // namespace test_support
