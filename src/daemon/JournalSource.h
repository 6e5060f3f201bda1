// The interface of a generation or service call towards its journal.
#pragma once

#include "lupinknot/Generation.h"
#include <string>

namespace lupinknot::wire {
class JournalItem;
}

namespace lupinknot::internal {

// How much of a generation has been sent to a replica.
struct JournalCursor {
    bool isOpened { false };
    AttemptNumber attempt { 0 };
    std::size_t length { 0 };
    bool isEnded { false };
};

// Thread-safe. The journal calls these functions without holding any of its locks.
class JournalSource {
public:
    virtual ~JournalSource() = default;
    virtual const std::string& journalKey() const = 0;
    // Adds everything beyond the cursor to the item and the list of tokens, and moves the cursor. Returns false when
    // there is nothing to add.
    virtual bool fillJournal(JournalCursor&, wire::JournalItem&, std::vector<Token>&) const = 0;
    // A replica holds everything up to the cursor.
    virtual void journalAcknowledged(const JournalCursor&) = 0;
    // No other VM can be reached.
    virtual void journalUnprotected() = 0;
    // Another VM has taken the generation over.
    virtual void journalRefused() = 0;
};

} // namespace lupinknot::internal
