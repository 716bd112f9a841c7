/// @file
/// A suspicion and its timer (SWIM 4.2): a member that did not answer is declared dead only if the timeout
/// expires without a refutation. Accusations by further members shorten the timeout (Lifeguard 4.2).
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// The suspicion of one member.
class Suspicion {
public:
    /// Starts a suspicion raised by `accuser`.
    Suspicion(const std::string& accuser, Millis now) : accusers_{accuser}, started_at_(now) {}

    /// Records a confirmation by another accuser.
    /// @param wanted  number of confirmations that shorten the timeout.
    /// @return whether the accuser is new and the confirmation is within that number.
    bool confirm(const std::string& accuser, unsigned wanted);
    bool accused_by(const std::string& name) const { return accusers_.contains(name); }
    /// Extends the suspicion by the time for which this process did not receive.
    void postpone(Millis stalled) { started_at_ += stalled; }
    /// Returns the time at which the suspect must be declared dead.
    /// @param members  number of members present in the fleet.
    Millis expires_at(const Parameters& parameters, std::size_t members) const;

private:
    std::set<std::string> accusers_;  // never empty
    Millis started_at_;
};

}  // namespace mothring::cluster
