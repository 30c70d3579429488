// Room on an endpoint that gangs will use, and what it leaves to other work.
#include "eelgrasslever/cluster/room_reservations.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::room_reservations;

namespace {

base::instant at(int ms) {
    return base::instant(base::milliseconds(ms));
}

base::resources cores(std::int64_t count) {
    base::resources result;
    result.cpu_milli = 1000 * count;
    return result;
}

std::int64_t available(const room_reservations& reservations, int free,
                       int end_ms) {
    return reservations.available(cores(free), at(end_ms)).cpu_milli / 1000;
}

} // namespace

BOOST_AUTO_TEST_SUITE(room_reservations_of_gangs)

BOOST_AUTO_TEST_CASE(all_free_room_is_available_without_a_reservation) {
    BOOST_TEST(available({}, 8, 5000) == 8);
}

// Room claimed for a gang stood idle until the gang started.
BOOST_AUTO_TEST_CASE(work_that_ends_before_a_gang_starts_uses_its_room) {
    room_reservations reservations;
    reservations.add(at(2000), cores(8), cores(8));
    BOOST_TEST(available(reservations, 8, 2000) == 8);
    BOOST_TEST(available(reservations, 8, 2001) == 0);
}

// A gang that needs room which is not free yet kept all that was free.
BOOST_AUTO_TEST_CASE(work_that_lasts_uses_what_the_gang_leaves) {
    room_reservations reservations;
    reservations.add(at(2000), cores(9), cores(16));
    BOOST_TEST(available(reservations, 8, 9000) == 7);
    BOOST_TEST(available(reservations, 4, 9000) == 4);
    reservations.take(cores(5), at(9000));
    BOOST_TEST(available(reservations, 3, 9000) == 2);
}

BOOST_AUTO_TEST_CASE(a_task_that_ends_in_time_takes_nothing_from_a_gang) {
    room_reservations reservations;
    reservations.add(at(2000), cores(8), cores(10));
    reservations.take(cores(2), at(1500));
    BOOST_TEST(available(reservations, 8, 9000) == 2);
}

BOOST_AUTO_TEST_CASE(a_reservation_leaves_room_to_those_before_and_after) {
    room_reservations reservations;
    reservations.add(at(2000), cores(6), cores(16));
    reservations.add(at(1000), cores(4), cores(12));
    BOOST_TEST(available(reservations, 16, 1500) == 8);
    BOOST_TEST(available(reservations, 16, 9000) == 6);
    reservations.add(at(3000), cores(5), cores(16));
    BOOST_TEST(available(reservations, 16, 9000) == 1);
    BOOST_TEST((reservations.total() == cores(15)));
}

BOOST_AUTO_TEST_CASE(room_that_was_taken_late_is_not_available) {
    room_reservations reservations;
    reservations.add(at(2000), cores(8), cores(4));
    BOOST_TEST(available(reservations, 4, 9000) < 0);
    BOOST_TEST(available(reservations, 4, 1000) == 4);
}

BOOST_AUTO_TEST_SUITE_END()
