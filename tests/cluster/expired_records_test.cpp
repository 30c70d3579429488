// Records that nobody needs any more must not fill the VMs.
#include "eelgrasslever/cluster/ended_jobs.hpp"
#include "eelgrasslever/cluster/expired_records.hpp"
#include "eelgrasslever/cluster/unmet_cancellations.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::ended_jobs;
using cluster::job_view;
using cluster::unmet_cancellations;

namespace {

constexpr base::milliseconds pass_interval{1000};
constexpr base::instant start{base::milliseconds(1'000'000)};

coordination::key_value record(const std::string& key,
                               const std::string& value) {
    return {key, value, 1, 0, false};
}

std::string completed() {
    workload::progress progress;
    progress.state = workload::job_state::completed;
    return workload::encode(progress);
}

void cancel(job_view& view, const std::string& id, base::instant now) {
    view.apply(record(cluster::keys::cancel + id, "1"), now);
}

void end_job(job_view& view, const std::string& id, base::instant now) {
    view.apply(record(cluster::keys::progress + id, completed()), now);
}

/// Removes what has expired, as the leader does once per pass.
/// @return the number of jobs whose records were removed.
std::size_t remove_expired(job_view& view, base::instant now) {
    auto expired = cluster::find_expired_records(view, now);
    for (const auto& keys : expired) {
        for (const std::string& key : keys) {
            view.apply({key, "", 2, 0, true}, now);
        }
    }
    return expired.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(expired_records)

BOOST_AUTO_TEST_CASE(each_record_is_kept_for_its_time) {
    job_view view;
    cancel(view, "unknown", start);
    cancel(view, "ended", start);
    end_job(view, "ended", start);
    BOOST_TEST(remove_expired(view, start + unmet_cancellations::retention) ==
               0u);
    BOOST_TEST(remove_expired(view, start + unmet_cancellations::retention +
                                        base::milliseconds(1)) == 1u);
    BOOST_TEST((view.find("unknown") == nullptr));
    BOOST_TEST(remove_expired(view, start + ended_jobs::retention) == 1u);
    BOOST_TEST(view.all().empty());
}

// Guards against a leader that removes fewer records than arrive: 40 jobs a
// second, beside 95 jobs a second and as many cancellations of unknown jobs as
// the cell takes.
BOOST_AUTO_TEST_CASE(records_are_removed_as_fast_as_they_come) {
    constexpr int jobs = 95;
    constexpr int cancellations = unmet_cancellations::max_stored *
                                  pass_interval /
                                  unmet_cancellations::retention;
    constexpr int passes = 400;
    job_view view;
    int number = 0;
    auto now = start;
    for (int pass = 0; pass < passes; ++pass, now += pass_interval) {
        for (int i = 0; i < jobs; ++i) {
            end_job(view, std::to_string(number++), now);
        }
        for (int i = 0; i < cancellations; ++i) {
            cancel(view, std::to_string(number++), now);
        }
        remove_expired(view, now);
    }
    auto in_time = [](base::milliseconds retention) {
        return static_cast<std::size_t>(retention / pass_interval + 2);
    };
    BOOST_TEST(view.all().size() <=
               in_time(ended_jobs::retention) * jobs +
                   in_time(unmet_cancellations::retention) * cancellations);
}

// Whatever rate the clients send at, and whichever VMs they reach.
BOOST_AUTO_TEST_CASE(cancellations_that_a_cell_admits_are_bounded) {
    for (std::size_t vms : {std::size_t{1}, std::size_t{7}, std::size_t{97}}) {
        std::size_t admitted = 0;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            unmet_cancellations limit;
            limit.set_members(vms);
            for (auto at = base::milliseconds(0);
                 at < unmet_cancellations::retention;
                 at += base::milliseconds(7)) {
                admitted += limit.admit(start + at) ? 1 : 0;
            }
        }
        BOOST_TEST(admitted <= unmet_cancellations::max_stored);
        BOOST_TEST(admitted > unmet_cancellations::max_stored * 9 / 10);
    }
    // The share is free again once the first ones have expired.
    unmet_cancellations limit;
    limit.set_members(unmet_cancellations::max_stored);
    BOOST_TEST(limit.admit(start));
    BOOST_TEST(!limit.admit(start + unmet_cancellations::retention -
                            base::milliseconds(1)));
    BOOST_TEST(limit.admit(start + unmet_cancellations::retention));
}

BOOST_AUTO_TEST_SUITE_END()
