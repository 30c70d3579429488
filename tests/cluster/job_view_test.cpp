#include "eelgrasslever/cluster/job_view.hpp"

#include "eelgrasslever/workload/codec.hpp"
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::job_change_kind;
using cluster::job_view;
using workload::job_state;

namespace {

const base::instant now{base::milliseconds(1000)};

coordination::key_value record(const char* prefix, const std::string& value,
                               coordination::revision at) {
    return {std::string(prefix) + "j1", value, at, 0, false};
}

coordination::key_value removal(const char* prefix, coordination::revision at) {
    return {std::string(prefix) + "j1", "", at, 0, true};
}

std::string in_state(job_state state) {
    workload::progress out;
    out.state = state;
    return workload::encode(out);
}

std::string a_job() {
    return workload::encode(test::make_job("j1", 2, 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(book)

BOOST_AUTO_TEST_CASE(a_job_is_pending_until_it_has_begun) {
    job_view view;
    auto change = view.apply(record(cluster::keys::job, a_job(), 1), now);
    BOOST_TEST((change.kind == job_change_kind::accepted));
    BOOST_TEST(view.pending("q") == 1u);
    view.apply(record(cluster::keys::progress, in_state(job_state::running), 2),
               now);
    BOOST_TEST(view.pending("q") == 0u);
}

BOOST_AUTO_TEST_CASE(an_ended_job_is_known_without_its_own_record) {
    job_view view;
    view.apply(record(cluster::keys::job, a_job(), 1), now);
    view.apply(
        record(cluster::keys::progress, in_state(job_state::completed), 2),
        now);
    view.apply(removal(cluster::keys::job, 2), now);
    BOOST_REQUIRE(view.find("j1") != nullptr);
    BOOST_TEST(view.find("j1")->is_known());
    view.apply(removal(cluster::keys::progress, 3), now);
    BOOST_TEST((view.find("j1") == nullptr));
}

// The watch may still bring what was stored before the notified end.
BOOST_AUTO_TEST_CASE(an_older_record_does_not_undo_a_notified_end) {
    job_view view;
    view.apply_final_state("j1", job_state::completed, now);
    view.apply(record(cluster::keys::job, a_job(), 1), now);
    view.apply(record(cluster::keys::progress, in_state(job_state::running), 2),
               now);
    BOOST_TEST((view.find("j1")->progress.state == job_state::completed));
}

BOOST_AUTO_TEST_CASE(a_cancellation_alone_is_no_job) {
    job_view view;
    auto change = view.apply(record(cluster::keys::cancel, "1", 1), now);
    BOOST_TEST((change.kind == job_change_kind::cancel_requested));
    BOOST_TEST(!view.find("j1")->is_known());
}

BOOST_AUTO_TEST_CASE(unreadable_records_leave_the_others_alone) {
    job_view view;
    view.apply(record(cluster::keys::job, "\xff", 1), now);
    BOOST_TEST((view.find("j1") == nullptr));
    view.apply(record(cluster::keys::job, a_job(), 2), now);
    view.apply(record(cluster::keys::progress, "{}", 3), now);
    BOOST_TEST((view.find("j1")->progress.state == job_state::queued));
}

BOOST_AUTO_TEST_SUITE_END()
