#include "cluster/parameters.hpp"

#include <algorithm>
#include <cmath>

namespace mothring::cluster {

Millis Parameters::suspicion_timeout(std::size_t members, unsigned confirmations) const {
    const double log = std::max(1.0, std::log10(std::max<double>(1, static_cast<double>(members))));
    const Millis minimum = suspicion_factor * log * period;
    const Millis maximum = max_suspicion_factor * minimum;
    const unsigned wanted = confirmations_wanted(members);
    if (wanted == 0) return minimum;
    const double fraction = std::log(confirmations + 1.0) / std::log(wanted + 1.0);
    return std::max(minimum, maximum - (maximum - minimum) * fraction);
}

// The number of confirmations that can come from members other than the accuser, the suspect and this member,
// but at most two in a small fleet (memberlist's documentation: the multiplier less two).
unsigned Parameters::confirmations_wanted(std::size_t members) const {
    const auto wanted = static_cast<unsigned>(std::max(0.0, suspicion_factor - 2));
    return members < wanted + 2 ? 0 : wanted;
}

unsigned Parameters::transmits(std::size_t members) const {
    return retransmit_factor * static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(members) + 1)));
}

double Parameters::sync_periods(std::size_t members) const {
    return std::max(min_sync_periods, static_cast<double>(members) / 2);
}

}  // namespace mothring::cluster
