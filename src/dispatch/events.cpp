#include "eelgrasslever/dispatch/events.hpp"

namespace eelgrasslever::dispatch {

const char* to_string(event_kind kind) {
    switch (kind) {
    case event_kind::started:
        return "started";
    case event_kind::ended:
        return "ended";
    case event_kind::not_started:
        return "not_started";
    case event_kind::lost:
        return "lost";
    case event_kind::adopted:
        return "adopted";
    case event_kind::moved:
        return "moved";
    case event_kind::gained:
        return "gained";
    case event_kind::dropped:
        return "dropped";
    }
    return "dropped";
}

} // namespace eelgrasslever::dispatch
