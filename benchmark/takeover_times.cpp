// Measures the time from the end of a leader to the first scheduler pass of the
// next one, by the number of jobs and the store's delay. Log lines go to
// standard error, results to standard output:
//     eel-takeover-times 2>/dev/null
#include "cluster_vm.hpp"

#include <iostream>

using namespace eelgrasslever;

namespace {

constexpr base::milliseconds usual_delay{4};
constexpr base::milliseconds slow_delay{200};
constexpr base::milliseconds settle_time{3000};
constexpr base::milliseconds limit{60'000};

struct takeover {
    base::milliseconds duration{0};
    int pages_read{0};
};

/// A leader whose VM stops, and a second VM whose view is current.
takeover measure(int jobs, base::milliseconds reply_delay) {
    kernel::loop loop;
    test::scripted_store store(loop);
    store.page_size = 500;
    test::put_jobs(store, jobs);
    test::put_endpoints(store, 1);
    store.reply_delay = usual_delay;
    test::cluster_vm first(loop, store, "first", 1.0);
    test::run_until(
        loop, [&] { return first.service->leading(); }, limit);
    test::cluster_vm second(loop, store, "second", 1.0);
    test::run_until(
        loop,
        [&] {
            return second.service->jobs().all().size() ==
                   static_cast<std::size_t>(jobs);
        },
        limit);
    test::run_loop(loop, settle_time);
    store.reply_delay = reply_delay;
    test::run_loop(loop, settle_time);
    int pages_before = store.page_read_count;
    first.service->drain();
    takeover measured;
    measured.duration = test::run_until(
        loop, [&] { return second.service->leading(); }, limit);
    measured.pages_read = store.page_read_count - pages_before;
    return measured;
}

} // namespace

int main() {
    std::cout << "jobs   call_ms  to_leading_ms  pages_read\n";
    for (int jobs : {10, 6000, 50'000}) {
        for (base::milliseconds delay : {usual_delay, slow_delay}) {
            auto measured = measure(jobs, delay);
            std::cout << jobs << "  " << delay.count() << "  "
                      << measured.duration.count() << "  "
                      << measured.pages_read << std::endl;
        }
    }
}
