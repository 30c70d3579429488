#include "eelgrasslever/cluster/job_view.hpp"

#include "eelgrasslever/cluster/ended_jobs.hpp"
#include "eelgrasslever/workload/codec.hpp"
#include "fake_fleet.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::job_change_kind;
using cluster::job_view;
using workload::job_state;

namespace {

const base::instant now{base::milliseconds(1000)};

coordination::key_value record(const char* prefix, const std::string& value,
                               coordination::revision revision) {
    return {std::string(prefix) + "j1", value, revision, 0, false};
}

coordination::key_value removal(const char* prefix,
                                coordination::revision revision) {
    return {std::string(prefix) + "j1", "", revision, 0, true};
}

std::string encoded_progress(job_state state) {
    workload::progress out;
    out.state = state;
    return workload::encode(out);
}

std::string encoded_job() {
    return workload::encode(test::make_job("j1", 2, 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(view)

BOOST_AUTO_TEST_CASE(a_job_is_pending_until_it_has_started) {
    job_view view;
    auto change = view.apply(record(cluster::keys::job, encoded_job(), 1), now);
    BOOST_TEST((change.kind == job_change_kind::accepted));
    BOOST_TEST(view.pending("q") == 1u);
    view.apply(record(cluster::keys::progress,
                      encoded_progress(job_state::running), 2),
               now);
    BOOST_TEST(view.pending("q") == 0u);
}

BOOST_AUTO_TEST_CASE(an_ended_job_stays_known_after_its_record_is_removed) {
    job_view view;
    view.apply(record(cluster::keys::job, encoded_job(), 1), now);
    view.apply(record(cluster::keys::progress,
                      encoded_progress(job_state::completed), 2),
               now);
    view.apply(removal(cluster::keys::job, 2), now);
    BOOST_REQUIRE(view.find("j1") != nullptr);
    BOOST_TEST(view.find("j1")->is_known());
    view.apply(removal(cluster::keys::progress, 3), now);
    BOOST_TEST((view.find("j1") == nullptr));
}

// A peer reports a final state before the watch delivers it. The watch may then
// still deliver older records, which must not make the job active again.
BOOST_AUTO_TEST_CASE(an_older_record_does_not_undo_a_final_state) {
    job_view view;
    view.apply_final_state("j1", job_state::completed, now);
    view.apply(record(cluster::keys::job, encoded_job(), 1), now);
    view.apply(record(cluster::keys::progress,
                      encoded_progress(job_state::running), 2),
               now);
    BOOST_TEST((view.find("j1")->progress.state == job_state::completed));
}

// An end may be announced after the watch has reported that its record is gone.
// No change ever removed such an entry, and a leader asked the store in vain to
// remove its record each second.
BOOST_AUTO_TEST_CASE(an_announced_end_without_a_record_is_kept_for_a_time) {
    job_view view;
    view.apply_final_state("j1", job_state::completed, now);
    auto other_record = [](base::milliseconds at) {
        auto other = record(cluster::keys::job, encoded_job(), at.count());
        other.key += "0";
        return other;
    };
    auto kept = cluster::ended_jobs::retention - base::milliseconds(1);
    view.apply(other_record(base::milliseconds(1)), now + kept);
    BOOST_TEST((view.find("j1") != nullptr));
    view.apply(other_record(base::milliseconds(2)),
               now + cluster::ended_jobs::retention);
    BOOST_TEST((view.find("j1") == nullptr));
    BOOST_TEST(view.all().size() == 1u);
}

// The store's records decide how long a job with records is kept.
BOOST_AUTO_TEST_CASE(an_announced_end_with_a_record_stays_until_it_is_removed) {
    job_view view;
    view.apply_final_state("j1", job_state::completed, now);
    view.apply(record(cluster::keys::progress,
                      encoded_progress(job_state::completed), 2),
               now);
    auto later = now + 2 * cluster::ended_jobs::retention;
    view.apply_final_state("j2", job_state::completed, later);
    BOOST_TEST((view.find("j1") != nullptr));
    view.apply(removal(cluster::keys::progress, 3), later);
    BOOST_TEST((view.find("j1") == nullptr));
}

// An end that is announced once more is as recent as that.
BOOST_AUTO_TEST_CASE(an_end_that_is_announced_again_is_kept_anew) {
    job_view view;
    view.apply_final_state("j1", job_state::completed, now);
    view.apply(record(cluster::keys::progress,
                      encoded_progress(job_state::completed), 2),
               now);
    view.apply(removal(cluster::keys::progress, 3), now);
    auto again = now + cluster::ended_jobs::retention / 2;
    view.apply_final_state("j1", job_state::completed, again);
    view.apply_final_state("j2", job_state::completed,
                           now + cluster::ended_jobs::retention);
    BOOST_TEST((view.find("j1") != nullptr));
    view.apply_final_state("j3", job_state::completed,
                           again + cluster::ended_jobs::retention);
    BOOST_TEST((view.find("j1") == nullptr));
}

BOOST_AUTO_TEST_CASE(a_cancellation_alone_is_not_a_known_job) {
    job_view view;
    auto change = view.apply(record(cluster::keys::cancel, "1", 1), now);
    BOOST_TEST((change.kind == job_change_kind::cancel_requested));
    BOOST_TEST(!view.find("j1")->is_known());
}

BOOST_AUTO_TEST_CASE(unreadable_records_do_not_affect_others) {
    job_view view;
    view.apply(record(cluster::keys::job, "\xff", 1), now);
    BOOST_TEST((view.find("j1") == nullptr));
    view.apply(record(cluster::keys::job, encoded_job(), 2), now);
    view.apply(record(cluster::keys::progress, "{}", 3), now);
    BOOST_TEST((view.find("j1")->progress.state == job_state::queued));
}

// The numbers are kept up to date by each change. One that drifts would be
// given to clients until the VM restarts.
BOOST_AUTO_TEST_CASE(queued_jobs_are_counted_through_any_order_of_changes) {
    job_view view;
    auto check = [&view](std::size_t expected) {
        auto counted = static_cast<std::size_t>(
            std::count_if(view.all().begin(), view.all().end(), [](auto& row) {
                return row.second.job &&
                       row.second.progress.state == job_state::queued;
            }));
        BOOST_TEST(counted == expected);
        BOOST_TEST(view.pending("q") == expected);
        BOOST_TEST(view.pending_by_queue().size() == (expected > 0 ? 1u : 0u));
    };
    auto progress = [](job_state state, coordination::revision revision) {
        return record(cluster::keys::progress, encoded_progress(state),
                      revision);
    };
    view.apply(removal(cluster::keys::job, 1), now);
    view.apply(removal(cluster::keys::progress, 1), now);
    check(0);
    view.apply(record(cluster::keys::job, encoded_job(), 2), now);
    view.apply(record(cluster::keys::job, encoded_job(), 3), now);
    check(1);
    view.apply(record(cluster::keys::cancel, "1", 4), now);
    view.apply(progress(job_state::queued, 5), now);
    check(1);
    view.apply(progress(job_state::running, 6), now);
    check(0);
    view.apply(removal(cluster::keys::progress, 7), now);
    check(1);
    view.apply_final_state("j1", job_state::completed, now);
    view.apply(progress(job_state::queued, 8), now);
    check(0);
    view.apply(removal(cluster::keys::job, 9), now);
    view.apply(removal(cluster::keys::progress, 9), now);
    view.apply(removal(cluster::keys::cancel, 10), now);
    check(0);
    BOOST_TEST(view.all().empty());
    view.apply(record(cluster::keys::job, encoded_job(), 11), now);
    view.apply(removal(cluster::keys::job, 12), now);
    check(0);
}

BOOST_AUTO_TEST_SUITE_END()
