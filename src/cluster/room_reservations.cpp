#include "eelgrasslever/cluster/room_reservations.hpp"

namespace eelgrasslever::cluster {

void room_reservations::clear() {
    m_reservations.clear();
    m_total = {};
}

void room_reservations::add(base::instant start, const base::resources& amount,
                            const base::resources& free_then) {
    base::resources left = free_then - amount;
    for (reservation& it : m_reservations) {
        if (it.start <= start) {
            left -= it.amount;
        } else {
            it.left -= amount;
        }
    }
    m_reservations.push_back({start, amount, left});
    m_total += amount;
}

void room_reservations::take(const base::resources& amount, base::instant end) {
    for (reservation& it : m_reservations) {
        if (it.start < end) {
            it.left -= amount;
        }
    }
}

base::resources room_reservations::available(const base::resources& free,
                                             base::instant end) const {
    base::resources result = free;
    for (const reservation& it : m_reservations) {
        if (it.start < end) {
            result = base::component_min(result, it.left);
        }
    }
    return result;
}

} // namespace eelgrasslever::cluster
