// A suspicion and its timer (SWIM 4.2): a member that did not answer is declared dead only when the timeout
// runs out without a refutation. Accusations by others shorten the timeout (Lifeguard 4.2).
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "cluster/parameters.hpp"

namespace mothring::cluster {

class Suspicion {
public:
    Suspicion(const std::string& accuser, Millis now) : accusers_{accuser}, started_at_(now) {}

    // Another accuser: whether it is a new one and one of the `wanted` confirmations that shorten the
    // timeout.
    bool confirm(const std::string& accuser, unsigned wanted);
    bool accused_by(const std::string& name) const { return accusers_.contains(name); }
    // This process did not listen for so long: the suspect gets the time back.
    void postpone(Millis stalled) { started_at_ += stalled; }
    // When the suspect is to be declared dead, in a fleet of so many present members.
    Millis expires_at(const Parameters& parameters, std::size_t members) const;

private:
    std::set<std::string> accusers_;  // never empty
    Millis started_at_;
};

}  // namespace mothring::cluster
