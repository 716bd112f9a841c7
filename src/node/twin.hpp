// Whether another process of this sidecar lives, as in an upgrade. Each holds a lock on a byte of one file;
// the kernel lets it go at the holder's death, however it died.
#pragma once

#include <string>

namespace mothring::node {

class Twin {
public:
    // In that folder, for the sidecar that the name tells apart. Where no lock is to be had it never sees
    // another, and logs so.
    Twin(const std::string& folder, const std::string& name);
    ~Twin();
    Twin(const Twin&) = delete;
    Twin& operator=(const Twin&) = delete;

    bool other_lives() const;

private:
    int file_ = -1;
};

}  // namespace mothring::node
