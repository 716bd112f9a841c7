/// @file
/// A suspicion and its timer (SWIM 4.2): a member that did not answer is declared dead only when the timeout
/// runs out without a refutation. Accusations by others shorten the timeout (Lifeguard 4.2).
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// Of one member.
class Suspicion {
public:
    /// By its first accuser.
    Suspicion(const std::string& accuser, Millis now) : accusers_{accuser}, started_at_(now) {}

    /// Takes another accuser.
    /// @param wanted  confirmations that shorten the timeout.
    /// @return whether the accuser is new and its confirmation is one of those.
    bool confirm(const std::string& accuser, unsigned wanted);
    bool accused_by(const std::string& name) const { return accusers_.contains(name); }
    /// Gives the suspect back the time for which this process did not listen.
    void postpone(Millis stalled) { started_at_ += stalled; }
    /// When the suspect is to be declared dead.
    /// @param members  present in the fleet.
    Millis expires_at(const Parameters& parameters, std::size_t members) const;

private:
    std::set<std::string> accusers_;  // never empty
    Millis started_at_;
};

}  // namespace mothring::cluster
