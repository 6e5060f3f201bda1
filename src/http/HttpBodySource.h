// Where a streamed response gets its body from.
#pragma once

#include <string>

namespace lupinknot::internal {

struct HttpBodyPiece {
    // Empty when nothing is ready; the exchange asks again after its wake().
    std::string bytes;
    bool isLast { false };
};

// The connection pulls: it asks for the next piece only when the one before has been handed to the system. So a slow
// reader holds back nothing but itself, and what became ready in the meantime goes out in one flush.
class HttpBodySource {
public:
    virtual ~HttpBodySource() = default;
    // Called on one thread at a time. Must not block.
    virtual HttpBodyPiece next() = 0;
};

} // namespace lupinknot::internal
