#include "random_run.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace test_support {

using base::outcome;
using el::admission::attempt_kind;
using el::admission::request;

namespace {

constexpr int max_attempts = 5; // per request
constexpr milliseconds request_timeout{8000};
constexpr milliseconds answer_timeout{9000};
constexpr milliseconds job_deadline{90000};

class run {
  public:
    explicit run(const random_run_options& options)
        : m_options(options), m_cell(options.shape, options.seed) {
        m_cell.set_epoch_guard(options.epoch_guard);
        m_cell.set_trace(options.trace);
    }

    random_run_result execute() {
        m_cell.run_for(milliseconds(500));
        roll_out_next_bundle();
        m_cell.run_for(milliseconds(2500));
        m_load_until = m_cell.now() + m_options.load_time;
        schedule_arrivals();
        schedule_faults();
        m_cell.run_for(m_options.load_time);
        schedule_repair();
        m_cell.run_for(m_options.settle_time);
        wait_for_jobs();
        m_cell.run_for(milliseconds(5000));
        m_cell.audit().check_final_answers();
        return result();
    }

  private:
    struct submission_state {
        request work;
        int attempts{0};
        bool answered{false};
        bool final{false};
    };
    using submission_ptr = std::shared_ptr<submission_state>;

    milliseconds pick_duration(int low, int high) {
        return milliseconds(
            low + static_cast<int>(
                      m_cell.pick(static_cast<std::uint64_t>(high - low + 1))));
    }
    const std::string& pick_one(const std::vector<std::string>& all) {
        return all[m_cell.pick(all.size())];
    }

    void schedule_arrivals() {
        if (m_cell.now() >= m_load_until) {
            return;
        }
        submit_random_request();
        m_cell.schedule_after(pick_duration(5, 60),
                              [this] { schedule_arrivals(); });
    }

    request make_request() {
        request out;
        out.id = "r" + std::to_string(m_next_id++);
        out.team = "doors";
        out.declared_run = pick_duration(5, 200);
        out.timeout = request_timeout;
        return out;
    }

    void submit_random_request() {
        request work = make_request();
        std::uint64_t kind = m_cell.pick(100);
        if (kind < 60) {
            work.attempt = attempt_kind::first;
        } else if (kind < 75) {
            work.team = "office";
            work.repeatable = false;
        } else if (kind < 85) {
            work.team = "visitors";
            work.attempt = attempt_kind::first;
            work.declared_run = pick_duration(100, 3000);
        } else if (kind < 90) {
            submit_twice(work);
            return;
        } else if (kind < 93) {
            submit_job(work);
            return;
        }
        auto submission = std::make_shared<submission_state>();
        submission->work = work;
        send(submission);
    }

    // Models a caller's network that delivers one request to two entry VMs,
    // both without an attempt mark.
    void submit_twice(const request& work) {
        for (int i = 0; i < 2; ++i) {
            auto submission = std::make_shared<submission_state>();
            submission->work = work;
            send(submission);
        }
    }

    void submit_job(request work) {
        bool is_gang = m_cell.pick(3) == 0;
        work.kind = is_gang ? "gang" : "batch";
        work.team = "office";
        work.tasks = is_gang ? 3 : 20;
        work.timeout = job_deadline;
        auto submission = std::make_shared<submission_state>();
        submission->work = work;
        send(submission);
    }

    void send(const submission_ptr& submission) {
        submission->attempts++;
        submission->answered = false;
        if (submission->attempts > 1 &&
            submission->work.attempt == attempt_kind::first) {
            submission->work.attempt = attempt_kind::retry;
        }
        int attempt = submission->attempts;
        caller_events caller;
        caller.on_answer = [this, submission,
                            attempt](const std::string& id,
                                     const base::answer& value) {
            if (submission->attempts == attempt) {
                on_answer(submission, id, value);
            }
        };
        caller.on_accept = [this, submission](const std::string& id) {
            submission->answered = true;
            m_accepted_jobs.insert(id);
        };
        m_unanswered.insert(submission->work.id);
        m_cell.submit(pick_one(m_cell.entries()), submission->work, caller);
        m_cell.schedule_after(answer_timeout, [this, submission, attempt] {
            bool is_unanswered =
                !submission->answered && submission->attempts == attempt;
            if (is_unanswered && submission->attempts < max_attempts) {
                send(submission);
            }
        });
    }

    void on_answer(const submission_ptr& submission, const std::string& id,
                   const base::answer& value) {
        submission->answered = true;
        m_unanswered.erase(id);
        m_cell.audit().on_answer(id, value);
        bool is_inconclusive = value.result == outcome::not_run ||
                               value.result == outcome::unknown;
        bool must_retry = is_inconclusive && value.retry_after &&
                          m_cell.pick(2) == 0 &&
                          submission->attempts < max_attempts;
        if (must_retry) {
            m_cell.audit().on_retry(id);
            m_cell.schedule_after(*value.retry_after,
                                  [this, submission] { send(submission); });
        }
    }

    void roll_out_next_bundle() {
        std::uint64_t version = ++m_bundle_version;
        m_cell.roll_out(pick_one(m_cell.entries()), version,
                        [this, version](const base::result<void>& done) {
                            if (!done && m_bundle_version == version) {
                                m_bundle_version--;
                            }
                        });
    }

    void schedule_faults() {
        if (m_cell.now() >= m_load_until) {
            return;
        }
        inject_random_fault();
        m_cell.schedule_after(pick_duration(500, 4000),
                              [this] { schedule_faults(); });
    }

    void inject_random_fault() {
        using fault_method = void (run::*)();
        struct choice {
            bool fault_set::*enabled;
            fault_method inject;
        };
        static const choice choices[] = {
            {&fault_set::entry_kills, &run::kill_entry},
            {&fault_set::entry_freezes, &run::freeze_entry},
            {&fault_set::endpoint_restarts, &run::restart_endpoint},
            {&fault_set::endpoint_freezes, &run::freeze_endpoint},
            {&fault_set::member_cuts, &run::cut_members},
            {&fault_set::domain_cuts, &run::cut_domains},
            {&fault_set::endpoint_cuts, &run::cut_endpoint},
            {&fault_set::store_faults, &run::disturb_store},
            {&fault_set::late_calls, &run::delay_calls},
            {&fault_set::planned_stops, &run::drain_entry},
            {&fault_set::cancellations, &run::cancel_requests}};
        const choice& chosen =
            choices[m_cell.pick(sizeof choices / sizeof choices[0])];
        if (m_options.faults.*chosen.enabled) {
            (this->*chosen.inject)();
        }
    }

    void kill_entry() {
        std::string name = pick_one(m_cell.entries());
        m_cell.kill_entry(name);
        m_cell.schedule_after(pick_duration(10, 8000),
                              [this, name] { m_cell.start_entry(name); });
    }
    void freeze_entry() {
        m_cell.freeze_entry(pick_one(m_cell.entries()),
                            pick_duration(200, 12000));
    }
    void restart_endpoint() {
        m_cell.restart_endpoint(pick_one(m_cell.endpoints()),
                                pick_duration(10, 5000));
    }
    void freeze_endpoint() {
        m_cell.freeze_endpoint(pick_one(m_cell.endpoints()),
                               pick_duration(200, 12000));
    }
    void cut_link(const std::string& a, const std::string& b,
                  milliseconds time) {
        m_cell.set_cut(a, b, true);
        m_cell.schedule_after(time,
                              [this, a, b] { m_cell.set_cut(a, b, false); });
    }
    void cut_members() {
        cut_link(pick_one(m_cell.entries()), pick_one(m_cell.entries()),
                 pick_duration(500, 15000));
    }
    void cut_domains() {
        m_cell.set_domain_cut(0, 1, true);
        m_cell.schedule_after(pick_duration(500, 15000),
                              [this] { m_cell.set_domain_cut(0, 1, false); });
    }
    void cut_endpoint() {
        cut_link(pick_one(m_cell.entries()), pick_one(m_cell.endpoints()),
                 pick_duration(500, 15000));
    }
    void disturb_store() {
        if (m_cell.pick(2) == 0) {
            m_cell.lose_store_replies(static_cast<int>(m_cell.pick(6)));
            return;
        }
        m_cell.set_store_down(true);
        m_cell.schedule_after(pick_duration(500, 15000),
                              [this] { m_cell.set_store_down(false); });
    }
    void delay_calls() {
        m_cell.set_late_call_percent(20);
        m_cell.schedule_after(pick_duration(500, 5000),
                              [this] { m_cell.set_late_call_percent(0); });
    }
    void drain_entry() {
        std::string name = pick_one(m_cell.entries());
        m_cell.drain_entry(name);
        m_cell.schedule_after(pick_duration(4000, 12000), [this, name] {
            m_cell.kill_entry(name);
            m_cell.start_entry(name);
        });
    }
    void cancel_requests() {
        for (int i = 0; i < 5; ++i) {
            std::uint64_t distance = 1 + m_cell.pick(20);
            if (distance < m_next_id) {
                m_cell.cancel(pick_one(m_cell.entries()),
                              "r" + std::to_string(m_next_id - distance));
            }
        }
    }

    void schedule_repair() {
        m_cell.schedule_after(milliseconds(16000), [this] {
            m_cell.set_store_down(false);
            m_cell.set_late_call_percent(0);
            m_cell.lose_store_replies(0);
            for (const std::string& name : m_cell.entries()) {
                m_cell.start_entry(name);
            }
        });
    }

    void wait_for_jobs() {
        for (const std::string& id : m_accepted_jobs) {
            caller_events caller;
            caller.on_answer = [this](const std::string& answered_id,
                                      const base::answer& value) {
                m_finished_jobs.insert(answered_id);
                m_cell.audit().on_answer(answered_id, value);
            };
            m_cell.wait_for_answer(pick_one(m_cell.entries()), id, caller);
        }
    }

    random_run_result result() {
        random_run_result out;
        out.violations = m_cell.audit().violations();
        out.steps = m_cell.steps();
        out.requests = m_next_id - 1;
        out.unanswered = 0;
        for (const std::string& id : m_unanswered) {
            out.unanswered += m_accepted_jobs.contains(id) ? 0 : 1;
        }
        out.starts = m_cell.audit().starts();
        out.completed = m_cell.audit().answers_of(outcome::completed);
        out.failed = m_cell.audit().answers_of(outcome::failed);
        out.not_run = m_cell.audit().answers_of(outcome::not_run);
        out.unknown = m_cell.audit().answers_of(outcome::unknown);
        out.jobs_accepted = m_accepted_jobs.size();
        out.jobs_finished = m_finished_jobs.size();
        std::set_difference(m_accepted_jobs.begin(), m_accepted_jobs.end(),
                            m_finished_jobs.begin(), m_finished_jobs.end(),
                            std::back_inserter(out.open_jobs));
        return out;
    }

    random_run_options m_options;
    fake_cell m_cell;
    instant m_load_until{};
    std::uint64_t m_next_id{1};
    std::uint64_t m_bundle_version{0};
    std::set<std::string> m_unanswered;
    std::set<std::string> m_accepted_jobs;
    std::set<std::string> m_finished_jobs;
};

} // namespace

random_run_result run_randomly(const random_run_options& options) {
    return run(options).execute();
}

} // namespace test_support
