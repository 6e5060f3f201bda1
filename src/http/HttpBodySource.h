// The source of a streamed response's body.
#pragma once

#include <string>

namespace lupinknot::internal {

struct HttpBodyPiece {
    // Empty when nothing is ready; the exchange calls next() again after its wake().
    std::string bytes;
    bool isLast { false };
};

// The connection pulls: it requests the next piece only after the previous one has been written to the socket. A slow
// reader therefore delays only its own response, and all data that became ready in the meantime is written at once.
class HttpBodySource {
public:
    virtual ~HttpBodySource() = default;
    // Called on one thread at a time. Must not block.
    virtual HttpBodyPiece next() = 0;
};

} // namespace lupinknot::internal
