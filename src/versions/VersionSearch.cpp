#include "versions/VersionSearch.h"

namespace lupinknot::internal {

VersionDecision decideVersion(const VersionKnowledge& known)
{
    if (known.noted)
        return { VersionSource::Note, known.noted };
    if (known.only && known.isOnlyCurrent)
        return { VersionSource::OnlyVersion, known.only };
    const bool mayLearnMore = !known.isSearchComplete || !known.isHistoryKnown || known.only;
    if (mayLearnMore && known.searchedFor < known.searchTime)
        return { VersionSource::SearchAgain, std::nullopt };
    return {};
}

} // namespace lupinknot::internal
