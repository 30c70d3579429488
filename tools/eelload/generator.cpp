#include "generator.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/code.hpp"

#include <iostream>
#include <utility>

namespace eelload {

namespace {

constexpr base::milliseconds reply_margin{1500};
constexpr base::milliseconds retry_pause{200};
constexpr base::milliseconds late_margin{250};
constexpr base::milliseconds progress_period{2000};
constexpr base::milliseconds job_look{2000};
constexpr double milliseconds_per_second = 1000.0;

} // namespace

struct generator::caller {
    work_kind work;
    std::string id;
    base::milliseconds actual_run{0};
    int sendings{0};
    bool late{false};
    base::instant since{};
    base::instant job_deadline{};
};

generator::generator(experiment plan, std::vector<std::string> servers,
                     std::string id_prefix)
    : m_plan(std::move(plan)), m_servers(std::move(servers)),
      m_prefix(std::move(id_prefix)), m_random(m_plan.seed), m_client(m_loop) {}

std::vector<ending> generator::run() {
    m_started = base::monotonic_now();
    m_ends = m_started + m_plan.duration;
    for (std::size_t i = 0; i < m_plan.work.size(); ++i) {
        m_arrivals_open++;
        after(m_plan.work[i].start_after, [this, i] { schedule(i); });
    }
    after(progress_period, [this] { show_progress(); });
    m_loop.run();
    return std::move(m_endings);
}

void generator::after(base::milliseconds delay, std::function<void()> work) {
    auto slot = m_timers.emplace(m_timers.end());
    *slot = std::make_unique<kernel::timer>(m_loop, [this, slot,
                                                     work = std::move(work)] {
        // The timer must outlive its own callback.
        auto kept =
            std::make_shared<std::unique_ptr<kernel::timer>>(std::move(*slot));
        m_timers.erase(slot);
        m_loop.defer([kept] {});
        work();
    });
    (*slot)->start_once(delay);
}

void generator::show_progress() {
    auto passed = base::monotonic_now() - m_started;
    std::cerr << "time=" << passed.count() / 1000 << "s open=" << m_open
              << " ended=" << m_endings.size() << "\n";
    after(progress_period, [this] { show_progress(); });
}

void generator::schedule(std::size_t index) {
    const work_kind& what = m_plan.work[index];
    base::instant now = base::monotonic_now();
    bool over =
        now >= m_ends || what.rate <= 0.0 ||
        (what.stop_after.count() > 0 && now >= m_started + what.stop_after);
    if (over) {
        m_arrivals_open--;
        stop_if_done();
        return;
    }
    arrive(what);
    std::exponential_distribution<double> gap(what.rate);
    auto pause =
        static_cast<std::int64_t>(gap(m_random) * milliseconds_per_second);
    after(base::milliseconds(pause), [this, index] { schedule(index); });
}

void generator::arrive(const work_kind& what) {
    auto at = std::make_shared<caller>();
    at->work = what;
    at->id = m_prefix + std::to_string(m_next_id++);
    std::uniform_real_distribution<double> factor(what.actual_factor_low,
                                                  what.actual_factor_high);
    double run = static_cast<double>(what.declared_run.count());
    at->actual_run =
        base::milliseconds(static_cast<std::int64_t>(run * factor(m_random)));
    at->since = base::monotonic_now();
    at->job_deadline = at->since + what.timeout;
    std::uniform_real_distribution<double> share(0.0, 1.0);
    if (share(m_random) < what.twice) {
        auto other = std::make_shared<caller>(*at);
        at->work.mark_first = false;
        other->work.mark_first = false;
        m_open++;
        send(other);
    }
    m_open++;
    send(at);
}

std::string generator::any_server() {
    return m_servers[m_random() % m_servers.size()];
}

std::string generator::request_body(const caller& at) const {
    nlohmann::json payload = {{"actual_ms", at.actual_run.count()}};
    nlohmann::json body = {{"team", at.work.team},
                           {"kind", at.work.kind},
                           {"run_ms", at.work.declared_run.count()},
                           {"timeout_ms", at.work.timeout.count()},
                           {"slots", at.work.slots},
                           {"tasks", at.work.tasks},
                           {"repeatable", at.work.repeatable},
                           {"payload", payload.dump()}};
    if (at.work.mark_first || at.sendings > 1) {
        body["attempt"] = at.sendings;
    }
    return body.dump();
}

void generator::send(const caller_ptr& at) {
    at->sendings++;
    http::call request;
    request.method = "POST";
    request.url = "http://" + any_server() + "/v1/requests";
    request.headers.push_back({"Idempotency-Key", at->id});
    request.body = request_body(*at);
    bool job = at->work.kind != "urgent";
    base::milliseconds patience =
        job ? base::milliseconds(5000) : at->work.timeout;
    request.timeout = patience + reply_margin;
    base::instant sent = base::monotonic_now();
    m_client.send(request, [this, at, sent](const http::reply& reply) {
        on_reply(at, reply, sent);
    });
}

void generator::on_reply(const caller_ptr& at, const http::reply& reply,
                         base::instant sent) {
    if (!reply.reached) {
        retry(at, retry_pause);
        return;
    }
    if (reply.status == eelgrasslever::http::code::accepted) {
        watch_job(at);
        return;
    }
    auto value =
        base::parse_message<base::answer>(reply.body, "load.answer", at->id);
    if (!value) {
        retry(at, retry_pause);
        return;
    }
    base::milliseconds took = base::monotonic_now() - sent;
    at->late = at->late || took > at->work.timeout + late_margin;
    bool open = value->retry_after && !value->rejected;
    if (open && at->sendings < m_plan.most_sendings) {
        retry(at, *value->retry_after);
        return;
    }
    finish(at, *value, true);
}

void generator::retry(const caller_ptr& at, base::milliseconds pause) {
    if (at->sendings >= m_plan.most_sendings) {
        finish(at, base::answer{}, false);
        return;
    }
    after(pause, [this, at] { send(at); });
}

void generator::watch_job(const caller_ptr& at) {
    http::call request;
    request.url = "http://" + any_server() + "/v1/requests/" + at->id +
                  "?wait_ms=" + std::to_string(job_look.count());
    request.timeout = job_look + reply_margin;
    m_client.send(request, [this, at](const http::reply& reply) {
        auto body = base::parse_object(reply.body, "load.job", at->id);
        bool answered = body && body->value("state", "") == "answered" &&
                        body->value("outcome", "") != "unknown";
        if (answered) {
            finish(at, body->get<base::answer>(), true);
            return;
        }
        constexpr base::milliseconds job_margin{30000};
        if (base::monotonic_now() > at->job_deadline + job_margin) {
            finish(at, base::answer{}, false);
            return;
        }
        after(retry_pause, [this, at] { watch_job(at); });
    });
}

void generator::finish(const caller_ptr& at, const base::answer& value,
                       bool answered) {
    ending out;
    out.id = at->id;
    out.work = at->work.name;
    out.answer = value;
    out.answered = answered;
    out.sendings = at->sendings;
    out.latency = base::monotonic_now() - at->since;
    out.actual_run = at->actual_run;
    out.late = at->late;
    m_endings.push_back(std::move(out));
    m_open--;
    stop_if_done();
}

void generator::stop_if_done() {
    if (m_open == 0 && m_arrivals_open == 0) {
        m_loop.stop();
    }
}

} // namespace eelload
