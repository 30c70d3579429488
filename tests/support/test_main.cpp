// Defines main() for every test program.
#define BOOST_TEST_MODULE eelgrasslever
#include <boost/test/unit_test.hpp>
