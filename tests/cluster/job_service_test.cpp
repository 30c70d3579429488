// States of jobs on a VM whose view does not contain all jobs.
#include "eelgrasslever/cluster/job_service.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace eelgrasslever;
using cluster::cancel_result;
using cluster::ended_jobs;
using cluster::running_jobs;
using cluster::state_result;
using cluster::submit_result;
using cluster::unmet_cancellations;
using test::scripted_store;
using workload::job_state;

namespace {

constexpr base::milliseconds reply_time{20};

/// Counts the reads, and calls a hook before each of them.
class counted_store final : public scripted_store {
  public:
    using scripted_store::scripted_store;
    void
    read(const std::string& key,
         std::function<void(const coordination::read_reply&)> done) override {
        reads++;
        if (before_read) {
            before_read(key);
        }
        scripted_store::read(key, std::move(done));
    }
    int reads{0};
    std::function<void(const std::string& key)> before_read;
};

struct fixture {
    void put(const std::string& key, const std::string& value) {
        coordination::transaction change;
        change.puts.push_back({key, value, coordination::no_lease});
        store.apply(change);
    }
    void put_progress(job_state state) {
        workload::progress progress;
        progress.state = state;
        put(progress_key, workload::encode(progress));
    }
    void end_job() {
        coordination::transaction change;
        workload::progress progress;
        progress.state = job_state::completed;
        change.puts.push_back({progress_key, workload::encode(progress), 0});
        change.removals.push_back(job_key);
        store.apply(change);
    }
    /// @return the outcome, once it is known.
    std::optional<submit_result> submit() {
        workload::job job;
        job.id = "j1";
        std::optional<submit_result> outcome;
        service->submit(job, base::monotonic_now() + base::milliseconds(3000),
                        [&outcome](submit_result result) { outcome = result; });
        test::run_loop(loop, 10 * reply_time);
        return outcome;
    }
    /// @return the outcome, once it is known.
    std::optional<cancel_result> cancel(const std::string& id) {
        std::optional<cancel_result> outcome;
        service->cancel(id, base::monotonic_now() + base::milliseconds(3000),
                        [&outcome](cancel_result result) { outcome = result; });
        test::run_loop(loop, 10 * reply_time);
        return outcome;
    }
    void ask() {
        service->state("j1", [this](const state_result& found) {
            answers.push_back(found);
        });
    }

    const std::string job_key = std::string(cluster::keys::job) + "j1";
    const std::string progress_key =
        std::string(cluster::keys::progress) + "j1";
    const std::string cancel_key = std::string(cluster::keys::cancel) + "j1";
    kernel::loop loop;
    counted_store store{loop};
    cluster::job_view view;
    bool is_view_complete{false};
    std::shared_ptr<cluster::job_service> service =
        std::make_shared<cluster::job_service>(
            store, view,
            [this] {
                return is_view_complete ? std::optional(base::monotonic_now())
                                        : std::nullopt;
            },
            std::make_shared<coordination::committer>(loop, store,
                                                      base::milliseconds(1)));
    std::vector<state_result> answers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_service_test, fixture)

// A running job was shown as waiting until the view had caught up.
BOOST_AUTO_TEST_CASE(an_incomplete_view_does_not_answer) {
    put(job_key, "");
    put_progress(job_state::running);
    workload::job job;
    job.id = "j1";
    view.apply({job_key, workload::encode(job), 1, 0, false}, {});
    ask();
    test::run_loop(loop, reply_time);
    BOOST_TEST((answers.at(0).state == job_state::running));
    is_view_complete = true;
    ask();
    BOOST_TEST((answers.at(1).state == job_state::queued));
}

// The job's record is removed when its end is stored.
BOOST_AUTO_TEST_CASE(a_job_that_ends_between_the_reads_is_found) {
    put(job_key, "");
    store.before_read = [this](const std::string& key) {
        if (key == job_key) {
            end_job();
        }
    };
    ask();
    test::run_loop(loop, reply_time);
    BOOST_TEST((answers.at(0).state == job_state::completed));
    BOOST_TEST(store.reads == 3);
}

BOOST_AUTO_TEST_CASE(concurrent_questions_share_reads) {
    put_progress(job_state::running);
    constexpr std::size_t questions = 50;
    for (std::size_t i = 0; i < questions; ++i) {
        ask();
    }
    test::run_loop(loop, reply_time);
    BOOST_TEST(answers.size() == questions);
    BOOST_TEST(store.reads == 2);
}

// A read that was sent before a job was accepted says that it is unknown. A
// client that asks after its submission was answered must not be told so.
BOOST_AUTO_TEST_CASE(a_question_does_not_get_the_result_of_an_earlier_read) {
    ask();
    // The first reads find nothing; the job is stored before their result is
    // known.
    bool has_asked = false;
    store.before_read = [&](const std::string&) {
        if (!has_asked && store.reads == 3) {
            has_asked = true;
            loop.defer([this] {
                put_progress(job_state::running);
                ask();
            });
        }
    };
    test::run_loop(loop, reply_time);
    BOOST_TEST(answers.size() == 2u);
    BOOST_TEST(answers.at(0).unknown_job);
    BOOST_TEST((answers.at(1).state == job_state::running));
}

// A final state does not change, so it is shown without the store, and remains
// once the store has removed the record.
BOOST_AUTO_TEST_CASE(a_final_state_that_was_announced_needs_no_read) {
    service->adopt_state("j1", job_state::failed);
    ask();
    BOOST_TEST((answers.at(0).state == job_state::failed));
    BOOST_TEST(store.reads == 0);
}

BOOST_AUTO_TEST_CASE(a_failed_read_is_not_an_unknown_job) {
    store.default_reply = {coordination::status::unreachable, false};
    ask();
    test::run_loop(loop, reply_time);
    BOOST_TEST(!answers.at(0).unknown_job);
    BOOST_TEST(!answers.at(0).state.has_value());
}

BOOST_AUTO_TEST_CASE(announced_states_are_kept_for_a_bounded_time) {
    ended_jobs ended;
    base::instant now{base::milliseconds(1'000'000)};
    ended.put("j1", job_state::completed, now);
    ended.put("j1", job_state::failed, now);
    BOOST_TEST((ended.find("j1", now) == job_state::completed));
    now += ended_jobs::retention;
    BOOST_TEST(!ended.find("j1", now).has_value());
    ended.put("j2", job_state::completed, now);
    BOOST_TEST(ended.size() == 1u);
    for (std::size_t i = 0; i < ended_jobs::max_entries + 10; ++i) {
        ended.put("k" + std::to_string(i), job_state::completed, now);
    }
    BOOST_TEST(ended.size() == ended_jobs::max_entries);
}

// A table that grows with each job that was asked about fills a small VM.
BOOST_AUTO_TEST_CASE(running_jobs_are_kept_for_a_bounded_time) {
    running_jobs running;
    base::instant start{base::milliseconds(1'000'000)};
    auto last = base::milliseconds(2) * running_jobs::retention.count();
    for (base::milliseconds at{0}; at <= last; ++at) {
        running.put("j" + std::to_string(at.count()), start + at, start + at);
        running.put("asked often", start + at, start + at);
    }
    BOOST_TEST(running.size() ==
               static_cast<std::size_t>(running_jobs::retention.count() + 1));
    BOOST_TEST(running.ran_since("asked often", start + last));
    BOOST_TEST(!running.ran_since("asked often",
                                  start + last + base::milliseconds(1)));
    BOOST_TEST(!running.ran_since("j0", start));
}

// A client cancelled a job while its submission was still under way. The answer
// was 410, the job was stored afterwards, and it ran.
BOOST_AUTO_TEST_CASE(cancellation_of_an_unknown_job_meets_its_submission) {
    BOOST_TEST((cancel("j1") == cancel_result::unknown_job));
    BOOST_TEST(store.entries().contains(cancel_key));
    BOOST_TEST((submit() == submit_result::cancelled));
    BOOST_TEST(!store.entries().contains(job_key));
    // Nobody is shown a job that was never accepted.
    ask();
    test::run_loop(loop, reply_time);
    BOOST_TEST(answers.at(0).unknown_job);
}

// Each cancellation of an unknown job takes memory on every VM, and a client
// can send any number of them.
BOOST_AUTO_TEST_CASE(cancellations_of_unknown_jobs_are_limited) {
    service->set_members(unmet_cancellations::max_stored / 2);
    BOOST_TEST((cancel("a") == cancel_result::unknown_job));
    BOOST_TEST((cancel("b") == cancel_result::unknown_job));
    BOOST_TEST((cancel("c") == cancel_result::rejected));
    BOOST_TEST(store.entries().size() == 2u);
    put(job_key, "");
    BOOST_TEST((cancel("j1") == cancel_result::cancelled));
}

// An earlier attempt has stored the job, so a client that is told that it never
// runs would be told wrong.
BOOST_AUTO_TEST_CASE(a_repeated_submission_of_a_cancelled_job_is_accepted) {
    put(job_key, "");
    put(cancel_key, "1");
    BOOST_TEST((submit() == submit_result::accepted));
    end_job();
    BOOST_TEST((submit() == submit_result::accepted));
}

// The first write had no reply, and the cancellation came before its retry: the
// answer depends on whether the first one was carried out.
BOOST_AUTO_TEST_CASE(a_submission_whose_first_write_had_no_reply_is_not_lost) {
    for (bool is_applied : {false, true}) {
        coordination::transaction removal;
        removal.removals = {job_key, cancel_key};
        store.apply(removal);
        store.next_replies = {{coordination::status::unreachable, is_applied}};
        kernel::timer cancelled(loop, [this] { put(cancel_key, "1"); });
        cancelled.start_once(reply_time);
        BOOST_TEST((submit() == (is_applied ? submit_result::accepted
                                            : submit_result::cancelled)));
        BOOST_TEST(store.entries().contains(job_key) == is_applied);
    }
}

// The mark must be stored before the client is told that there is no job.
BOOST_AUTO_TEST_CASE(cancellation_that_leaves_no_mark_is_not_acknowledged) {
    store.next_replies = {{}, {}, {}};
    store.default_reply = {coordination::status::refused, false};
    std::optional<cluster::cancel_result> cancelled;
    service->cancel("j1", base::monotonic_now() + base::milliseconds(300),
                    [&](cluster::cancel_result result) { cancelled = result; });
    test::run_loop(loop, base::milliseconds(600));
    BOOST_REQUIRE(cancelled.has_value());
    BOOST_TEST((*cancelled == cluster::cancel_result::unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
