#include "eelgrasslever/coordination/prefix_watcher.hpp"

#include "scripted_store.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace eelgrasslever;
using coordination::status;
using test::scripted_store;

namespace {

constexpr base::milliseconds settle_time{60};

struct fixture {
    fixture() {
        watcher = std::make_shared<coordination::prefix_watcher>(
            loop, store, "p/",
            coordination::prefix_watcher_timing{base::milliseconds(10),
                                                base::milliseconds(5),
                                                base::milliseconds(10)},
            [this](const coordination::key_value& change) {
                if (change.deleted) {
                    view.erase(change.key);
                } else {
                    view[change.key] = change.value;
                }
            },
            [] {});
    }

    void put(const std::string& key, const std::string& value) {
        coordination::transaction change;
        change.puts.push_back({key, value, 0});
        store.apply(change);
    }
    void remove(const std::string& key) {
        coordination::transaction change;
        change.removals.push_back(key);
        store.apply(change);
    }

    kernel::loop loop;
    scripted_store store{loop};
    std::map<std::string, std::string> view;
    std::shared_ptr<coordination::prefix_watcher> watcher;
};

/// One key with a long value. The link carries a version of it in 10 ms, and
/// five of them before a call fails.
struct narrow_link_fixture : fixture {
    narrow_link_fixture() {
        store.link_bytes_per_ms = 500;
        store.transfer_timeout = base::milliseconds(50);
    }

    void put_next_version() {
        put("p/config", padding + std::to_string(++version));
    }
    /// Starts the watcher, and puts @p count versions in an outage of the
    /// store.
    void miss_versions(int count) {
        put_next_version();
        watcher->start();
        test::run_loop(loop, settle_time);
        store.default_reply = {status::unreachable, false};
        test::run_loop(loop, settle_time);
        for (int i = 0; i < count; ++i) {
            put_next_version();
        }
        store.default_reply = {status::ok, true};
    }
    [[nodiscard]] int seen_version() const {
        return std::stoi(view.at("p/config").substr(padding.size()));
    }

    std::string padding = std::string(5000, 'x');
    int version{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(prefix_watcher, fixture)

BOOST_AUTO_TEST_CASE(reads_all_pages_then_watches_for_changes) {
    for (int i = 0; i < 10; ++i) {
        put("p/" + std::to_string(i), "v");
    }
    put("other/1", "v");
    watcher->start();
    test::run_loop(loop, settle_time);
    BOOST_TEST(view.size() == 10u);
    put("p/new", "w");
    remove("p/3");
    test::run_loop(loop, settle_time);
    BOOST_TEST(view.size() == 10u);
    BOOST_TEST(view.at("p/new") == "w");
    watcher->stop();
}

BOOST_AUTO_TEST_CASE(a_key_deleted_in_lost_history_is_reported_as_deleted) {
    put("p/1", "v");
    put("p/2", "v");
    watcher->start();
    test::run_loop(loop, settle_time);
    remove("p/1");
    store.keeps_history = false;
    test::run_loop(loop, settle_time);
    BOOST_TEST(view.size() == 1u);
    watcher->stop();
}

BOOST_AUTO_TEST_CASE(an_outage_is_detected_and_recovered_from) {
    watcher->start();
    test::run_loop(loop, settle_time);
    store.default_reply = {status::unreachable, false};
    test::run_loop(loop, settle_time);
    BOOST_TEST(!watcher->connected());
    put("p/1", "v");
    store.default_reply = {status::ok, true};
    test::run_loop(loop, settle_time);
    BOOST_TEST(watcher->connected());
    BOOST_TEST(view.size() == 1u);
    watcher->stop();
}

// A load beside an unreliable store began again at each failed page, so that a
// long one hardly ever ended.
BOOST_AUTO_TEST_CASE(a_page_that_fails_is_repeated_alone) {
    for (int i = 0; i < 10; ++i) {
        put("p/" + std::to_string(i), "v");
    }
    const scripted_store::scripted_reply ok;
    const scripted_store::scripted_reply lost{status::unreachable, false};
    store.next_replies = {ok, ok, lost, lost, ok, lost};
    watcher->start();
    test::run_loop(loop, 2 * settle_time);
    BOOST_TEST(view.size() == 10u);
    // Four pages, and three repetitions.
    BOOST_TEST(store.page_read_count == 7);
    watcher->stop();
}

// A refresh during a load that waits to repeat a page must neither be answered
// by what that load read before, nor drop those who wait for the load.
BOOST_AUTO_TEST_CASE(a_refresh_while_a_page_fails_reads_everything_again) {
    for (int i = 0; i < 10; ++i) {
        put("p/" + std::to_string(i), "v");
    }
    watcher->start();
    test::run_loop(loop, settle_time);
    int done = 0;
    store.next_replies = {{status::ok, true}, {status::ok, true}};
    store.default_reply = {status::unreachable, false};
    watcher->refresh([&] { done++; });
    test::run_loop(loop, settle_time);
    BOOST_TEST(done == 0);
    put("p/0", "w");
    watcher->refresh([&] { done++; });
    store.default_reply = {status::ok, true};
    test::run_loop(loop, settle_time);
    BOOST_TEST(done == 2);
    BOOST_TEST(view.at("p/0") == "w");
    watcher->stop();
}

BOOST_AUTO_TEST_CASE(a_refresh_completes_with_a_view_as_recent_as_its_call) {
    watcher->start();
    test::run_loop(loop, settle_time);
    put("p/1", "v");
    bool done = false;
    watcher->refresh([&] {
        done = true;
        BOOST_TEST(view.size() == 1u);
    });
    test::run_loop(loop, settle_time);
    BOOST_TEST(done);
    watcher->stop();
}

// Guards against a view that falls behind without bound: changes arrive faster
// than one full reply per batch delay can return.
BOOST_AUTO_TEST_CASE(a_backlog_of_changes_is_read_without_delays) {
    store.max_changes_per_watch = 4;
    watcher->start();
    test::run_loop(loop, settle_time);
    watcher->set_batch_delay(base::milliseconds(40));
    constexpr int change_count = 100;
    for (int i = 0; i < change_count; ++i) {
        put("p/" + std::to_string(i), "v");
    }
    test::run_loop(loop, base::milliseconds(150));
    BOOST_TEST(view.size() == std::size_t{change_count});
    watcher->stop();
}

BOOST_AUTO_TEST_CASE(a_partial_reply_does_not_make_the_view_current) {
    watcher->start();
    test::run_loop(loop, settle_time);
    put("p/1", "v");
    put("p/2", "v");
    store.max_changes_per_watch = 1;
    store.always_partial = true;
    base::instant before = base::monotonic_now();
    test::run_loop(loop, settle_time);
    BOOST_TEST(view.size() == 2u);
    BOOST_TEST((watcher->current_as_of() < before + base::milliseconds(20)));
    store.always_partial = false;
    test::run_loop(loop, settle_time);
    BOOST_TEST((watcher->current_as_of() > before + base::milliseconds(20)));
    watcher->stop();
}

// Guards against an age of two whole watches and a pause: a change at the end
// of a watch was followed by the batch delay and another whole watch.
BOOST_AUTO_TEST_CASE(a_watch_after_a_late_change_is_held_for_less) {
    constexpr base::milliseconds watch_timeout{200};
    constexpr base::milliseconds batch_delay{100};
    store.reply_delay = base::milliseconds(2);
    watcher = std::make_shared<coordination::prefix_watcher>(
        loop, store, "p/",
        coordination::prefix_watcher_timing{watch_timeout, batch_delay,
                                            base::milliseconds(10)},
        [](const coordination::key_value&) {}, [] {});
    int watches = 0;
    kernel::timer late_change(loop, [this] { put("p/late", "v"); });
    store.on_watch = [&](base::milliseconds wait) {
        auto age = base::monotonic_now() - watcher->current_as_of();
        bool asks_at_once = wait <= base::milliseconds(1);
        BOOST_TEST((asks_at_once || age + wait <= 2 * watch_timeout));
        if (++watches == 2) {
            late_change.start_once(watch_timeout * 8 / 10);
        }
    };
    watcher->start();
    test::run_loop(loop, 6 * watch_timeout);
    BOOST_TEST(watches >= 4);
    watcher->stop();
}

// Guards against a winner that waits for a batch delay before it learns of its
// own write.
BOOST_AUTO_TEST_CASE(a_wait_for_a_revision_is_not_delayed_by_batches) {
    watcher->set_batch_delay(base::milliseconds(1000));
    watcher->start();
    test::run_loop(loop, settle_time);
    put("p/1", "v");
    test::run_loop(loop, settle_time);
    put("p/2", "v");
    bool done = false;
    watcher->when_current(store.entries().at("p/2").revision, [&] {
        done = true;
        BOOST_TEST(view.size() == 2u);
    });
    BOOST_TEST(!done);
    test::run_loop(loop, settle_time);
    BOOST_TEST(done);
    watcher->stop();
}

// The pages of a load are not a snapshot, so a view is not yet complete when
// the revision that is waited for has been seen on one of them.
BOOST_AUTO_TEST_CASE(a_wait_for_a_revision_includes_a_load_after_lost_history) {
    watcher->start();
    test::run_loop(loop, settle_time);
    for (int i = 0; i < 20; ++i) {
        put("p/" + std::to_string(i), "v");
    }
    store.keeps_history = false;
    int pages_before = store.page_read_count;
    bool done = false;
    watcher->when_current(store.entries().at("p/0").revision, [&] {
        done = true;
        BOOST_TEST(view.size() == 20u);
    });
    test::run_loop(loop, 2 * settle_time);
    BOOST_TEST(done);
    BOOST_TEST(store.page_read_count > pages_before);
    watcher->stop();
}

// Guards against a view that stays old after an outage: the history since then
// is longer than a call can transfer, so each call failed like the one before.
BOOST_FIXTURE_TEST_CASE(a_history_too_long_for_a_call_does_not_keep_a_view_old,
                        narrow_link_fixture) {
    miss_versions(100);
    test::run_loop(loop, base::milliseconds(1000));
    BOOST_TEST(seen_version() == version);
    BOOST_TEST(watcher->connected());
    watcher->stop();
}

// Guards against the same with a value so long that it isn't read after each
// failed call.
BOOST_FIXTURE_TEST_CASE(a_long_value_is_read_in_place_of_a_longer_history,
                        narrow_link_fixture) {
    constexpr std::size_t scale = 16;
    padding.resize(scale * padding.size(), 'x');
    store.link_bytes_per_ms *= scale;
    miss_versions(100);
    test::run_loop(loop, base::milliseconds(1000));
    BOOST_TEST(seen_version() == version);
    watcher->stop();
}

// Guards against a store that serves all of a large view to each VM after an
// outage, in place of the few changes since.
BOOST_AUTO_TEST_CASE(a_large_view_is_not_read_again_after_an_outage) {
    const std::string value(40'000, 'x');
    put("p/1", value);
    put("p/2", value);
    watcher->start();
    test::run_loop(loop, settle_time);
    int pages_before = store.page_read_count;
    store.default_reply = {status::unreachable, false};
    test::run_loop(loop, settle_time);
    put("p/1", "v");
    store.default_reply = {status::ok, true};
    test::run_loop(loop, settle_time);
    BOOST_TEST(view.at("p/1") == "v");
    BOOST_TEST(store.page_read_count == pages_before);
    watcher->stop();
}

// Guards against a view that stays behind for as long as it takes to receive
// many truncated replies, though all present values fit into a few pages.
BOOST_FIXTURE_TEST_CASE(a_long_history_is_read_up_to_the_size_of_the_view,
                        narrow_link_fixture) {
    constexpr int keys = 10;
    const std::string value(8000, 'x');
    auto put_all = [&] {
        for (int i = 0; i < keys; ++i) {
            put("p/" + std::to_string(i), value + std::to_string(version));
        }
        version++;
    };
    put_all();
    store.max_changes_per_watch = keys;
    store.link_bytes_per_ms = value.size();
    watcher->start();
    test::run_loop(loop, settle_time);
    store.default_reply = {status::unreachable, false};
    test::run_loop(loop, settle_time);
    for (int i = 0; i < 100; ++i) {
        put_all();
    }
    const std::string newest = value + std::to_string(version - 1);
    int watches = 0;
    store.on_watch = [&](base::milliseconds) {
        watches += view.at("p/9") == newest ? 0 : 1;
    };
    store.default_reply = {status::ok, true};
    test::run_loop(loop, base::milliseconds(1000));
    BOOST_TEST((view.at("p/9") == newest));
    // Two replies are larger than the view.
    BOOST_TEST(watches <= 2);
    watcher->stop();
}

// Guards against a view that falls ever further behind: a value changes faster
// than its versions can be transferred, though the newest one alone could be.
BOOST_FIXTURE_TEST_CASE(a_view_keeps_up_with_more_versions_than_a_link_carries,
                        narrow_link_fixture) {
    put_next_version();
    watcher->start();
    test::run_loop(loop, settle_time);
    // Two versions in the time that the link needs for one.
    kernel::timer changes(loop, [this] { put_next_version(); });
    changes.start_every(base::milliseconds(5));
    int most_behind = 0;
    for (int i = 0; i < 20; ++i) {
        test::run_loop(loop, base::milliseconds(50));
        most_behind = std::max(most_behind, version - seen_version());
    }
    // The versions of four calls.
    BOOST_TEST(most_behind <= 40);
    watcher->stop();
}

BOOST_AUTO_TEST_SUITE_END()
