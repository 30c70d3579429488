#include "generator.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/code.hpp"

#include <iostream>
#include <utility>

namespace eelload {

namespace {

// Time for the reply to arrive after the server's own timeout.
constexpr base::milliseconds reply_timeout_margin{1500};
constexpr base::milliseconds retry_delay{200};
// An answer counts as late if it comes this long after the timeout.
constexpr base::milliseconds lateness_tolerance{250};
constexpr base::milliseconds progress_interval{2000};
constexpr base::milliseconds job_poll_wait{2000};
constexpr double milliseconds_per_second = 1000.0;

} // namespace

/// A request as its caller tracks it until the final answer.
struct generator::pending_request {
    work_class work;
    std::string id;
    base::milliseconds actual_run{0};
    int attempts{0};
    bool late{false};
    base::instant first_sent_at{};
    base::instant job_deadline{}; // for jobs that are polled
};

generator::generator(experiment plan, std::vector<std::string> servers,
                     std::string id_prefix)
    : m_experiment(std::move(plan)), m_servers(std::move(servers)),
      m_id_prefix(std::move(id_prefix)), m_random(m_experiment.seed),
      m_client(m_loop) {}

std::vector<request_result> generator::run() {
    m_started_at = base::monotonic_now();
    m_arrivals_end_at = m_started_at + m_experiment.duration;
    for (std::size_t i = 0; i < m_experiment.work.size(); ++i) {
        m_open_arrivals++;
        run_after(m_experiment.work[i].start_after,
                  [this, i] { schedule_arrivals(i); });
    }
    run_after(progress_interval, [this] { print_progress(); });
    m_loop.run();
    return std::move(m_results);
}

void generator::run_after(base::milliseconds delay,
                          std::function<void()> work) {
    auto slot = m_timers.emplace(m_timers.end());
    *slot = std::make_unique<kernel::timer>(m_loop, [this, slot,
                                                     work = std::move(work)] {
        // The loop destroys the timer later, as it must outlive its callback.
        auto fired =
            std::make_shared<std::unique_ptr<kernel::timer>>(std::move(*slot));
        m_timers.erase(slot);
        m_loop.defer([fired] {});
        work();
    });
    (*slot)->start_once(delay);
}

void generator::print_progress() {
    auto elapsed = base::monotonic_now() - m_started_at;
    std::cerr << "time=" << elapsed.count() / 1000
              << "s open=" << m_open_requests << " ended=" << m_results.size()
              << "\n";
    run_after(progress_interval, [this] { print_progress(); });
}

void generator::schedule_arrivals(std::size_t index) {
    const work_class& work = m_experiment.work[index];
    base::instant now = base::monotonic_now();
    bool is_over =
        now >= m_arrivals_end_at || work.rate <= 0.0 ||
        (work.stop_after.count() > 0 && now >= m_started_at + work.stop_after);
    if (is_over) {
        m_open_arrivals--;
        stop_if_done();
        return;
    }
    start_request(work);
    std::exponential_distribution<double> gap(work.rate);
    auto gap_ms =
        static_cast<std::int64_t>(gap(m_random) * milliseconds_per_second);
    run_after(base::milliseconds(gap_ms),
              [this, index] { schedule_arrivals(index); });
}

void generator::start_request(const work_class& work) {
    auto pending = std::make_shared<pending_request>();
    pending->work = work;
    pending->id = m_id_prefix + std::to_string(m_next_id++);
    std::uniform_real_distribution<double> factor(work.actual_factor_low,
                                                  work.actual_factor_high);
    double run = static_cast<double>(work.declared_run.count());
    pending->actual_run =
        base::milliseconds(static_cast<std::int64_t>(run * factor(m_random)));
    pending->first_sent_at = base::monotonic_now();
    pending->job_deadline = pending->first_sent_at + work.timeout;
    std::uniform_real_distribution<double> share(0.0, 1.0);
    if (share(m_random) < work.duplicate_share) {
        auto duplicate = std::make_shared<pending_request>(*pending);
        pending->work.marks_first_attempt = false;
        duplicate->work.marks_first_attempt = false;
        m_open_requests++;
        send(duplicate);
    }
    m_open_requests++;
    send(pending);
}

std::string generator::pick_server() {
    return m_servers[m_random() % m_servers.size()];
}

std::string generator::request_body(const pending_request& pending) const {
    nlohmann::json payload = {{"actual_ms", pending.actual_run.count()}};
    nlohmann::json body = {{"team", pending.work.team},
                           {"kind", pending.work.kind},
                           {"run_ms", pending.work.declared_run.count()},
                           {"timeout_ms", pending.work.timeout.count()},
                           {"slots", pending.work.slots},
                           {"tasks", pending.work.tasks},
                           {"repeatable", pending.work.repeatable},
                           {"payload", payload.dump()}};
    if (pending.work.marks_first_attempt || pending.attempts > 1) {
        body["attempt"] = pending.attempts;
    }
    return body.dump();
}

void generator::send(const request_ptr& pending) {
    pending->attempts++;
    http::call request;
    request.method = "POST";
    request.url = "http://" + pick_server() + "/v1/requests";
    request.headers.push_back({"Idempotency-Key", pending->id});
    request.body = request_body(*pending);
    bool is_job = pending->work.kind != "urgent";
    base::milliseconds answer_timeout =
        is_job ? base::milliseconds(5000) : pending->work.timeout;
    request.timeout = answer_timeout + reply_timeout_margin;
    base::instant sent = base::monotonic_now();
    m_client.send(request, [this, pending, sent](const http::reply& reply) {
        on_reply(pending, reply, sent);
    });
}

void generator::on_reply(const request_ptr& pending, const http::reply& reply,
                         base::instant sent) {
    if (!reply.reached) {
        retry(pending, retry_delay);
        return;
    }
    if (reply.status == eelgrasslever::http::code::accepted) {
        poll_job(pending);
        return;
    }
    auto answer = base::parse_message<base::answer>(reply.body, "load.answer",
                                                    pending->id);
    if (!answer) {
        retry(pending, retry_delay);
        return;
    }
    base::milliseconds elapsed = base::monotonic_now() - sent;
    pending->late =
        pending->late || elapsed > pending->work.timeout + lateness_tolerance;
    bool is_retryable = answer->retry_after && !answer->rejected;
    if (is_retryable && pending->attempts < m_experiment.max_attempts) {
        retry(pending, *answer->retry_after);
        return;
    }
    finish(pending, *answer, true);
}

void generator::retry(const request_ptr& pending, base::milliseconds delay) {
    if (pending->attempts >= m_experiment.max_attempts) {
        finish(pending, base::answer{}, false);
        return;
    }
    run_after(delay, [this, pending] { send(pending); });
}

void generator::poll_job(const request_ptr& pending) {
    http::call request;
    request.url = "http://" + pick_server() + "/v1/requests/" + pending->id +
                  "?wait_ms=" + std::to_string(job_poll_wait.count());
    request.timeout = job_poll_wait + reply_timeout_margin;
    m_client.send(request, [this, pending](const http::reply& reply) {
        auto body = base::parse_object(reply.body, "load.job", pending->id);
        bool is_answered = body && body->value("state", "") == "answered" &&
                           body->value("outcome", "") != "unknown";
        if (is_answered) {
            finish(pending, body->get<base::answer>(), true);
            return;
        }
        constexpr base::milliseconds job_deadline_margin{30000};
        if (base::monotonic_now() >
            pending->job_deadline + job_deadline_margin) {
            finish(pending, base::answer{}, false);
            return;
        }
        run_after(retry_delay, [this, pending] { poll_job(pending); });
    });
}

void generator::finish(const request_ptr& pending, const base::answer& answer,
                       bool answered) {
    request_result result;
    result.id = pending->id;
    result.work = pending->work.name;
    result.answer = answer;
    result.answered = answered;
    result.attempts = pending->attempts;
    result.latency = base::monotonic_now() - pending->first_sent_at;
    result.actual_run = pending->actual_run;
    result.late = pending->late;
    m_results.push_back(std::move(result));
    m_open_requests--;
    stop_if_done();
}

void generator::stop_if_done() {
    if (m_open_requests == 0 && m_open_arrivals == 0) {
        m_loop.stop();
    }
}

} // namespace eelload
