#include "eelgrasslever/cluster/incarnation.hpp"

#include <charconv>
#include <cstdint>

namespace eelgrasslever::cluster {

namespace {

constexpr char separator = '#';

} // namespace

std::string to_string(const incarnation& life) {
    if (!life.started_at) {
        return life.name;
    }
    return life.name + separator +
           std::to_string(life.started_at->time_since_epoch().count());
}

incarnation parse_incarnation(std::string_view id) {
    incarnation life;
    life.name = id;
    auto position = id.rfind(separator);
    if (position == std::string_view::npos) {
        return life;
    }
    std::int64_t started = -1;
    std::string_view digits = id.substr(position + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), started);
    incarnation composed{
        std::string(id.substr(0, position)),
        std::chrono::sys_time<base::milliseconds>(base::milliseconds(started))};
    return started >= 0 && to_string(composed) == id ? composed : life;
}

bool is_earlier(const incarnation& life, const incarnation& than) {
    return life.name == than.name && life.started_at < than.started_at;
}

bool proves_end(const incarnation& former, const incarnation& next) {
    return former.name != next.name || (former.started_at && next.started_at &&
                                        former.started_at != next.started_at);
}

} // namespace eelgrasslever::cluster
