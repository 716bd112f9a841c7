#include "lab/results.hpp"

namespace mothring::lab {

ClientTally Report::clients() const {
    ClientTally sum;
    for (const Sidecar& sidecar : sidecars) {
        sum.all.add(sidecar.clients.all);
        const auto& seconds = sidecar.clients.seconds;
        if (sum.seconds.size() < seconds.size()) sum.seconds.resize(seconds.size());
        for (std::size_t i = 0; i < seconds.size(); ++i) sum.seconds[i].add(seconds[i]);
    }
    return sum;
}

double Report::sidecars_cpu_s() const {
    double sum = 0;
    for (const Sidecar& sidecar : sidecars) sum += sidecar.usage.cpu_s;
    return sum;
}

}  // namespace mothring::lab
