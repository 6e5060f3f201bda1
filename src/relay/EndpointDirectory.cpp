#include "relay/EndpointDirectory.h"

#include "common/EventLog.h"
#include "health/StallDetector.h"
#include "reach/EndpointConnector.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>

namespace lupinknot::internal {

namespace {

const std::vector<std::shared_ptr<RelayEndpoint>> noEndpoints;
// How long a removed entry is remembered: an older copy of the list may name it for as long.
constexpr Milliseconds removalRetention { 60'000 };
// Shares of zones closer than this are equal; an estimate that changes by less than this many percent is not logged.
constexpr double equalShares = 0.001;
constexpr std::int64_t loggedChangePercent = 15;
// The time for which bytes of an endpoint that has failed may still wait to be read.
constexpr Milliseconds minTimeToSignOfLife { 50 };
// Less than the shortest silence that is noticed: shorter silence began while this VM stood still.
constexpr Milliseconds minSilenceAfterStall { 150 };

} // namespace

EndpointDirectory::EndpointDirectory(boost::asio::io_context& ioContext, const RelaySettings& settings)
    : m_ioContext(ioContext)
    , m_settings(settings)
    , m_versions(settings.streamLifetime)
{
}

void EndpointDirectory::setConnector(EndpointConnector& connector)
{
    m_connector = &connector;
    connector.setEndpoints({ [this] { return size(); }, [this] { return sample(); } });
    connector.onPartitionChange([this] { forgetFailures(); });
}

bool EndpointDirectory::isPartitioned() const { return m_connector && m_connector->isPartitioned(); }

void EndpointDirectory::forgetFailures()
{
    for (const auto& known : m_endpointsById)
        known.second->endAvoidance();
    m_zones.clear();
    m_declaredFailures.clear();
}

std::vector<CheckedEndpoint> EndpointDirectory::sample() const
{
    std::mt19937 random(std::random_device {}());
    std::vector<CheckedEndpoint> chosen;
    for (const auto& service : m_endpointsByService) {
        for (const auto& zone : service.second.byZone) {
            const auto& endpoints = zone.second;
            const auto first = endpoints.empty() ? 0 : random() % endpoints.size();
            for (std::size_t i = 0; i < endpoints.size(); ++i) {
                const auto& endpoint = *endpoints[(first + i) % endpoints.size()];
                if (endpoint.isShuttingDown())
                    continue;
                const auto& entry = endpoint.entry();
                chosen.push_back({ entry.id, entry.address, entry.availabilityZone });
                break;
            }
        }
    }
    return chosen;
}

void EndpointDirectory::upsert(EndpointEntry entry, Milliseconds now)
{
    for (const auto& address : put(std::move(entry), now))
        decideAt(address, now);
}

std::vector<std::string> EndpointDirectory::put(EndpointEntry entry, Milliseconds now)
{
    if (!removeEarlierIncarnation(entry, now))
        return {};
    applyAnnouncedShutdown(entry);
    m_versions.noteListed(entry.service, entry.version, now);
    m_unconfirmed.missing.erase(entry.id);
    m_unconfirmed.relisted.erase(entry.id);
    const auto address = entry.address.text();
    const auto* const listed = listedEntry(entry.id);
    const auto previousAddress = listed ? listed->address.text() : address;
    if (previousAddress != address)
        eraseAddress(previousAddress, entry.id);
    addAddress(entry);
    const auto known = find(entry.id);
    if (known && !known->isRemoved())
        update(known, std::move(entry), now);
    else
        putUnused(std::move(entry));
    if (previousAddress != address)
        return { address, previousAddress };
    return { address };
}

void EndpointDirectory::update(const std::shared_ptr<RelayEndpoint>& endpoint, EndpointEntry entry, Milliseconds now)
{
    // An entry without a start time is taken to be of the known incarnation.
    entry.startTime = std::max(entry.startTime, endpoint->entry().startTime);
    if (endpoint->entry().isDraining != entry.isDraining || endpoint->isRemoved()) {
        ++m_counts.changed;
        logEndpoint("endpoint.changed", entry);
    }
    if (entry.isDraining)
        endpoint->closeKeptConnections();
    endpoint->updateEntry(std::move(entry), now);
}

void EndpointDirectory::add(EndpointEntry entry, Milliseconds now)
{
    if (const auto lastResort = find(entry.id)) {
        update(lastResort, std::move(entry), now);
        return;
    }
    ++m_counts.added;
    logEndpoint("endpoint.added", entry);
    const auto service = entry.service;
    const auto id = entry.id;
    const ClientConnectionSettings connection { .connectTimeout = m_settings.endpointConnectTimeout };
    const auto endpoint = std::make_shared<RelayEndpoint>(m_ioContext, entry, connection, now, m_connector);
    if (const auto removal = m_removals.find(entry.incarnationName()); removal != m_removals.end())
        endpoint->restoreSignals(removal->second.signals, now);
    if (const auto restored = m_restoredSignals.find(entry.incarnationName()); restored != m_restoredSignals.end())
        endpoint->restoreSignals(restored->second, now);
    endpoint->onBackOff(m_onBackOff);
    endpoint->updateEntry(std::move(entry), now);
    m_endpointsById.emplace(id, endpoint);
    auto& listed = m_endpointsByService[service];
    listed.all.push_back(endpoint);
    listed.byZone[endpoint->entry().availabilityZone].push_back(endpoint);
}

void EndpointDirectory::putUnused(EndpointEntry entry)
{
    const auto known = m_unused.find(entry.id);
    const bool isUnchanged = known != m_unused.end() && known->second.entry.incarnationName() == entry.incarnationName()
        && known->second.entry.writtenAt == entry.writtenAt;
    const bool isMisdirected = isUnchanged && known->second.isMisdirected;
    auto& unused = m_unused[entry.id];
    unused = { std::move(entry), isMisdirected };
}

void EndpointDirectory::addAddress(const EndpointEntry& entry)
{
    auto& ids = m_idsByAddress[entry.address.text()];
    if (std::find(ids.begin(), ids.end(), entry.id) == ids.end())
        ids.push_back(entry.id);
}

void EndpointDirectory::eraseAddress(const std::string& address, const std::string& id)
{
    const auto known = m_idsByAddress.find(address);
    if (known == m_idsByAddress.end())
        return;
    std::erase(known->second, id);
    if (known->second.empty())
        m_idsByAddress.erase(known);
}

const EndpointEntry* EndpointDirectory::listedEntry(const std::string& id) const
{
    if (const auto unused = m_unused.find(id); unused != m_unused.end())
        return &unused->second.entry;
    const auto known = m_endpointsById.find(id);
    return known == m_endpointsById.end() ? nullptr : &known->second->entry();
}

bool EndpointDirectory::isInUse(const std::string& id) const
{
    const auto known = m_endpointsById.find(id);
    return known != m_endpointsById.end() && !known->second->isRemoved();
}

std::vector<AddressClaim> EndpointDirectory::claimsOf(const std::vector<std::string>& ids) const
{
    std::vector<AddressClaim> claims;
    claims.reserve(ids.size());
    for (const auto& id : ids) {
        const auto* const entry = listedEntry(id);
        const auto unused = m_unused.find(id);
        claims.push_back({ .entry = entry,
            .isListed = unused != m_unused.end() || isInUse(id),
            .isMisdirected = unused != m_unused.end() && unused->second.isMisdirected,
            .isServiceKnown = !m_isKnownService || m_isKnownService(entry->service) });
    }
    return claims;
}

void EndpointDirectory::decideAt(const std::string& address, Milliseconds now)
{
    const auto found = m_idsByAddress.find(address);
    if (found == m_idsByAddress.end())
        return;
    std::vector<std::string> displaced;
    std::vector<std::string> chosen;
    const auto claims = claimsOf(found->second);
    const auto areDisplaced = AddressClaim::displaced(claims);
    for (std::size_t i = 0; i < claims.size(); ++i) {
        const auto& claim = claims[i];
        if (areDisplaced[i])
            displaced.push_back(claim.entry->id);
        else if (claim.isListed && !claim.isMisdirected)
            chosen.push_back(claim.entry->id);
    }
    for (const auto& id : displaced)
        displace(id, now);
    for (const auto& id : chosen) {
        if (auto unused = m_unused.extract(id))
            add(std::move(unused.mapped().entry), now);
    }
}

void EndpointDirectory::servicesChanged(Milliseconds now)
{
    std::vector<std::string> shared;
    for (const auto& [address, ids] : m_idsByAddress) {
        if (ids.size() > 1)
            shared.push_back(address);
    }
    for (const auto& address : shared)
        decideAt(address, now);
    const auto counts = std::exchange(m_counts, {});
    if (counts.added + counts.replaced > 0)
        LogEvent("endpoints.services-changed")
            .number("added", counts.added)
            .number("replaced", counts.replaced)
            .number("known", static_cast<std::int64_t>(size()))
            .number("unused", static_cast<std::int64_t>(m_unused.size()))
            .write();
}

void EndpointDirectory::displace(const std::string& id, Milliseconds now)
{
    const auto endpoint = find(id);
    if (!endpoint)
        return;
    ++m_counts.replaced;
    logEndpoint("endpoint.replaced", endpoint->entry());
    if (!endpoint->isRemoved()) {
        putUnused(endpoint->entry());
        retire(endpoint, now);
    }
    drop(endpoint);
}

void EndpointDirectory::restoreSignals(const std::string& incarnation, const EndpointSignals& signals, Milliseconds now)
{
    m_restoredSignals[incarnation].merge(signals);
    for (const auto& [id, endpoint] : m_endpointsById) {
        if (endpoint->entry().incarnationName() == incarnation)
            endpoint->restoreSignals(signals, now);
    }
}

void EndpointDirectory::applyAnnouncedShutdown(EndpointEntry& entry) const
{
    const auto known = m_endpointsById.find(entry.id);
    if (known != m_endpointsById.end() && !known->second->isRemoved()) {
        entry.isDraining = entry.isDraining || known->second->entry().isDraining;
        return;
    }
    if (const auto unused = m_unused.find(entry.id); unused != m_unused.end())
        entry.isDraining = entry.isDraining || unused->second.entry.isDraining;
    const auto removal = m_removals.find(entry.incarnationName());
    entry.isDraining = entry.isDraining || (removal != m_removals.end() && removal->second.signals.isShuttingDown());
}

bool EndpointDirectory::isKnownGone(const EndpointEntry& entry) const
{
    const auto known = m_endpointsById.find(entry.id);
    const bool isListed = known != m_endpointsById.end() && !known->second->isRemoved();
    return !isListed && m_removals.count(entry.incarnationName()) > 0;
}

void EndpointDirectory::recordRelisted(EndpointEntry entry, Milliseconds now)
{
    // The announcement that it shuts down is taken over at once: the endpoint may still be in use as a last resort.
    if (entry.isDraining) {
        m_removals.at(entry.incarnationName()).signals.noteShuttingDown();
        if (const auto known = find(entry.id))
            known->setDraining(now);
    }
    m_unconfirmed.relisted.insert_or_assign(entry.id, std::move(entry));
}

bool EndpointDirectory::removeEarlierIncarnation(const EndpointEntry& entry, Milliseconds now)
{
    const auto* const listed = listedEntry(entry.id);
    if (!listed || entry.startTime == 0)
        return true;
    // In one era of the list, the entry that was written last is of the present incarnation, even if its clock was set
    // back.
    const bool isWrittenLater = entry.writtenAt.era == listed->writtenAt.era && entry.writtenAt > listed->writtenAt;
    if (entry.startTime < listed->startTime && !isWrittenLater) {
        LogEvent("endpoint.stale-entry")
            .text("endpoint", entry.id)
            .number("born", static_cast<std::int64_t>(entry.startTime))
            .number("known_born", static_cast<std::int64_t>(listed->startTime))
            .write();
        return false;
    }
    if (listed->startTime == 0 || entry.startTime == listed->startTime)
        return true;
    ++m_counts.replaced;
    logEndpoint("endpoint.restarted", entry);
    const auto address = listed->address.text();
    m_unused.erase(entry.id);
    if (const auto current = find(entry.id)) {
        retire(current, now);
        drop(current);
    }
    eraseAddress(address, entry.id);
    if (address != entry.address.text())
        decideAt(address, now);
    return true;
}

void EndpointDirectory::remove(const std::string& id, Milliseconds now)
{
    if (const auto address = withdraw(id, now))
        decideAt(*address, now);
}

std::optional<std::string> EndpointDirectory::withdraw(const std::string& id, Milliseconds now)
{
    m_unconfirmed.missing.erase(id);
    m_unconfirmed.relisted.erase(id);
    const auto* const listed = listedEntry(id);
    if (!listed)
        return std::nullopt;
    const auto address = listed->address.text();
    m_unused.erase(id);
    if (const auto known = find(id))
        retire(known, now);
    else
        eraseAddress(address, id);
    return address;
}

void EndpointDirectory::retire(const std::shared_ptr<RelayEndpoint>& endpoint, Milliseconds now)
{
    if (endpoint->isRemoved())
        return;
    const auto& entry = endpoint->entry();
    m_versions.noteListed(entry.service, entry.version, now);
    m_removals.insert_or_assign(entry.incarnationName(), Removal { now, endpoint->signals() });
    ++m_counts.removed;
    logEndpoint("endpoint.removed", entry);
    endpoint->setRemoved(now);
    endpoint->closeKeptConnections();
}

void EndpointDirectory::noteMisdirected(const RelayEndpoint& endpoint, Milliseconds now)
{
    const auto& entry = endpoint.entry();
    const auto* const listed = listedEntry(entry.id);
    const auto address = entry.address.text();
    // The list may name another incarnation or address by now.
    if (!listed || listed->incarnationName() != entry.incarnationName() || listed->address.text() != address)
        return;
    const auto known = find(entry.id);
    const bool isInUseStill = known && !known->isRemoved();
    if (isInUseStill) {
        putUnused(entry);
        retire(known, now);
    }
    const auto unused = m_unused.find(entry.id);
    if (unused == m_unused.end())
        return;
    unused->second.isMisdirected = true;
    decideAt(address, now);
    const auto present = findAt(address);
    LogEvent("endpoint.misdirected")
        .text("endpoint", entry.id)
        .text("address", address)
        .text("used_instead", present ? present->entry().id : "")
        .write();
}

EndpointCounts EndpointDirectory::change(std::vector<EndpointChange> changes, Milliseconds now, std::uint64_t version)
{
    for (auto& change : changes) {
        if (change.isRemoval)
            remove(change.entry.id, now);
        else
            upsert(std::move(change.entry), now);
    }
    return logCounts(false, version);
}

void EndpointDirectory::logEndpoint(std::string_view event, const EndpointEntry& entry) const
{
    if (!m_settings.logsEndpoints)
        return;
    LogEvent(event)
        .text("endpoint", entry.id)
        .text("service", entry.service)
        .text("address", entry.address.text())
        .text("zone", entry.availabilityZone)
        .flag("draining", entry.isDraining)
        .write();
}

EndpointCounts EndpointDirectory::logCounts(bool isWhole, std::uint64_t version)
{
    const auto counts = std::exchange(m_counts, {});
    if (!isWhole && counts.added + counts.changed + counts.replaced + counts.removed == 0)
        return counts;
    LogEvent("endpoints.applied")
        .flag("whole", isWhole)
        .number("list_version", static_cast<std::int64_t>(version))
        .number("added", counts.added)
        .number("changed", counts.changed)
        .number("replaced", counts.replaced)
        .number("removed", counts.removed)
        .number("in_doubt", static_cast<std::int64_t>(m_unconfirmed.missing.size() + m_unconfirmed.relisted.size()))
        .number("known", static_cast<std::int64_t>(size()))
        .number("unused", static_cast<std::int64_t>(m_unused.size()))
        .write();
    return counts;
}

EndpointCounts EndpointDirectory::replaceAll(
    std::vector<EndpointEntry> entries, Milliseconds now, std::uint64_t version)
{
    const bool isFirst = !std::exchange(m_isKnown, true);
    if (isFirst)
        m_firstListAt = now;
    const bool mayNameGone = m_listConfirmedAt < m_ignoreGoneUntil;
    const bool mayLackPresent = m_listConfirmedAt < m_keepMissingUntil;
    std::set<std::string> listed;
    // Decided once the whole list is known.
    std::set<std::string> changed;
    for (auto& entry : entries) {
        listed.insert(entry.id);
        if (mayNameGone && isKnownGone(entry)) {
            recordRelisted(std::move(entry), now);
            continue;
        }
        const auto addresses = put(std::move(entry), now);
        changed.insert(addresses.begin(), addresses.end());
    }
    std::vector<std::string> gone;
    for (const auto& [id, endpoint] : m_endpointsById) {
        if (!listed.count(id) && !endpoint->isRemoved())
            gone.push_back(id);
    }
    for (const auto& [id, unused] : m_unused) {
        if (!listed.count(id))
            gone.push_back(id);
    }
    for (const auto& id : gone) {
        if (mayLackPresent)
            m_unconfirmed.missing.insert(id);
        else if (const auto address = withdraw(id, now))
            changed.insert(*address);
    }
    for (const auto& address : changed)
        decideAt(address, now);
    const auto counts = logCounts(true, version);
    if (isFirst && m_onFirstList)
        m_onFirstList();
    return counts;
}

std::shared_ptr<RelayEndpoint> EndpointDirectory::find(const std::string& id) const
{
    const auto found = m_endpointsById.find(id);
    return found == m_endpointsById.end() ? nullptr : found->second;
}

std::shared_ptr<RelayEndpoint> EndpointDirectory::findAt(const std::string& service, const SocketAddress& address) const
{
    const auto ids = m_idsByAddress.find(address.text());
    if (ids == m_idsByAddress.end())
        return nullptr;
    for (const auto& id : ids->second) {
        if (auto endpoint = find(id); isInUse(id) && endpoint->entry().service == service)
            return endpoint;
    }
    return nullptr;
}

std::shared_ptr<RelayEndpoint> EndpointDirectory::findAt(const std::string& address) const
{
    const auto ids = m_idsByAddress.find(address);
    if (ids == m_idsByAddress.end())
        return nullptr;
    AddressClaim best;
    for (const auto& claim : claimsOf(ids->second)) {
        if (isInUse(claim.entry->id) && (!best.entry || claim.precedes(best)))
            best = claim;
    }
    return best.entry ? find(best.entry->id) : nullptr;
}

const std::vector<std::shared_ptr<RelayEndpoint>>& EndpointDirectory::endpointsOf(const std::string& service) const
{
    const auto found = m_endpointsByService.find(service);
    return found == m_endpointsByService.end() ? noEndpoints : found->second.all;
}

const std::vector<std::shared_ptr<RelayEndpoint>>& EndpointDirectory::endpointsOf(
    const std::string& service, const std::string& zone) const
{
    const auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return noEndpoints;
    const auto inZone = found->second.byZone.find(zone);
    return inZone == found->second.byZone.end() ? noEndpoints : inZone->second;
}

void EndpointDirectory::listRestored(Milliseconds now)
{
    m_unconfirmed = {};
    m_keepMissingUntil = now + m_settings.keepMissingEndpointsFor;
    m_ignoreGoneUntil = now + m_settings.ignoreGoneEndpointsFor;
}

void EndpointDirectory::applyUnconfirmed(Milliseconds now)
{
    const auto missing
        = m_listConfirmedAt < m_keepMissingUntil ? std::set<std::string>() : std::exchange(m_unconfirmed.missing, {});
    const auto relisted = m_listConfirmedAt < m_ignoreGoneUntil ? std::map<std::string, EndpointEntry>()
                                                                : std::exchange(m_unconfirmed.relisted, {});
    if (missing.empty() && relisted.empty())
        return;
    // The grace time as a last resort starts when the list's time passed, not when this is noticed.
    for (const auto& id : missing)
        remove(id, m_keepMissingUntil);
    for (const auto& entry : relisted)
        upsert(entry.second, now);
    m_counts = {};
    LogEvent("endpoints.settled")
        .number("missing", static_cast<std::int64_t>(missing.size()))
        .number("returned", static_cast<std::int64_t>(relisted.size()))
        .number("known", static_cast<std::int64_t>(size()))
        .write();
}

void EndpointDirectory::noteListedVersions(Milliseconds now)
{
    for (const auto& [service, endpoints] : m_endpointsByService) {
        // Most endpoints have the version of the one before.
        const std::string* previous = nullptr;
        for (const auto& endpoint : endpoints.all) {
            const auto& version = endpoint->entry().version;
            if (endpoint->isRemoved() || (previous && *previous == version))
                continue;
            m_versions.noteListed(service, version, now);
            previous = &version;
        }
    }
}

std::optional<Milliseconds> EndpointDirectory::versionMissingSince(
    const std::string& service, const std::string& version, Milliseconds now) const
{
    const auto& endpoints = endpointsOf(service);
    const bool isServing = std::any_of(endpoints.begin(), endpoints.end(), [&version](const auto& endpoint) {
        return !endpoint->isRemoved() && !endpoint->isShuttingDown() && endpoint->entry().version == version;
    });
    if (isServing)
        return std::nullopt;
    return m_versions.lastListedAt(service, version).value_or(m_isKnown ? m_firstListAt : now);
}

void EndpointDirectory::dropExpired(Milliseconds now)
{
    applyUnconfirmed(now);
    noteListedVersions(now);
    std::erase_if(m_removals, [now](const auto& entry) {
        const auto& removal = entry.second;
        return now - removal.at > removalRetention && !removal.signals.isInBackOff(now);
    });
    std::erase_if(m_restoredSignals, [now](const auto& restored) { return restored.second.accepts(now); });
    std::vector<std::shared_ptr<RelayEndpoint>> expired;
    for (const auto& known : m_endpointsById) {
        if (known.second->isExpired(now, m_settings.removedEndpointGrace))
            expired.push_back(known.second);
    }
    for (const auto& endpoint : expired)
        drop(endpoint);
}

void EndpointDirectory::drop(const std::shared_ptr<RelayEndpoint>& endpoint)
{
    // The entry may only have expired: what the endpoint announced still holds when it is listed again.
    if (const auto removal = m_removals.find(endpoint->entry().incarnationName()); removal != m_removals.end())
        removal->second.signals.merge(endpoint->signals());
    if (!m_unused.count(endpoint->entry().id))
        eraseAddress(endpoint->entry().address.text(), endpoint->entry().id);
    auto& listed = m_endpointsByService[endpoint->entry().service];
    std::erase(listed.all, endpoint);
    for (auto& zone : listed.byZone)
        std::erase(zone.second, endpoint);
    m_endpointsById.erase(endpoint->entry().id);
}

void EndpointDirectory::noteFailure(const RelayEndpoint& endpoint, Milliseconds now, FailureEvidence evidence)
{
    if (!m_settings.policies.has(Policy::ZoneAvoidance))
        return;
    if (!m_connector || m_connector->reachability() == Reachability::Reachable) {
        recordFailure(endpoint, now, evidence);
        return;
    }
    m_connector->ifReachable([this, id = endpoint.entry().id, now, evidence] {
        if (const auto known = find(id))
            recordFailure(*known, now, evidence);
    });
}

void EndpointDirectory::noteSilence(const RelayEndpoint& endpoint, Milliseconds now, FailureEvidence evidence)
{
    const auto stallEnd = m_stalls ? m_stalls->lastStallEnd(now) : Milliseconds { 0 };
    if (stallEnd > Milliseconds { 0 } && now - stallEnd < minSilenceAfterStall)
        return;
    noteFailure(endpoint, now, evidence);
    reportFailure(endpoint, evidence);
}

void EndpointDirectory::awaitSignOfLife(const RelayEndpoint& endpoint, Milliseconds now, FailureEvidence evidence)
{
    const auto known = find(endpoint.entry().id);
    if (known.get() != &endpoint)
        return;
    known->awaitConfirmation([this, id = endpoint.entry().id, failedAt = now, evidence](Milliseconds at) {
        // Bytes that the endpoint sent before it failed may be read after its failure was noticed.
        if (at - failedAt < minTimeToSignOfLife)
            return false;
        LogEvent("endpoint.alive-again", LogImportance::Routine)
            .text("endpoint", id)
            .text("evidence", nameIn(failureEvidenceNames, evidence))
            .number("after_ms", (at - failedAt).count())
            .write();
        if (const auto alive = find(id))
            noteSignOfLife(*alive, at);
        return true;
    });
}

void EndpointDirectory::noteSignOfLife(const RelayEndpoint& endpoint, Milliseconds now)
{
    auto& zone = m_zones[endpoint.entry().availabilityZone];
    std::erase_if(zone.failures, [&](const Failure& failure) { return failure.endpointId == endpoint.entry().id; });
    if (const auto seen = zone.hasAnswered.find(endpoint.entry().id); seen != zone.hasAnswered.end())
        seen->second = true;
    const auto alive = std::count_if(
        zone.hasAnswered.begin(), zone.hasAnswered.end(), [](const auto& entry) { return entry.second; });
    if (zone.failure && 2 * static_cast<std::size_t>(alive) >= zone.hasAnswered.size())
        retractOwn(zone, RetractionReason::Alive, now);
    if (m_onSignOfLife)
        m_onSignOfLife(endpoint);
}

bool EndpointDirectory::isSilenceSpread(const std::string& service, Milliseconds now) const
{
    const auto isSilent = [&](const Failure& failure) {
        return failure.service == service && failure.evidence != FailureEvidence::Failed
            && now - failure.at <= m_settings.zoneFailureWindow;
    };
    const auto silentZones = std::count_if(m_zones.begin(), m_zones.end(), [&isSilent](const auto& entry) {
        const auto& failures = entry.second.failures;
        return std::any_of(failures.begin(), failures.end(), isSilent);
    });
    return silentZones > 1 && 2 * static_cast<std::size_t>(silentZones) > zonesOf(service).size();
}

void EndpointDirectory::recordFailure(const RelayEndpoint& endpoint, Milliseconds now, FailureEvidence evidence)
{
    const auto& entry = endpoint.entry();
    auto& zone = m_zones[entry.availabilityZone];
    auto& failures = zone.failures;
    while (!failures.empty() && now - failures.front().at > m_settings.zoneFailureWindow)
        failures.pop_front();
    const bool isRepeat = std::any_of(
        failures.begin(), failures.end(), [&entry](const Failure& failure) { return failure.endpointId == entry.id; });
    awaitSignOfLife(endpoint, now, evidence);
    if (!isRepeat)
        failures.push_back({ entry.id, entry.service, now, evidence });
    if (failures.size() >= m_settings.zoneFailureCount) {
        std::vector<FailureEvidence> shown;
        shown.reserve(failures.size());
        for (const auto& failure : failures)
            shown.push_back(failure.evidence);
        const auto common = commonEvidence(std::move(shown), m_settings.zoneFailureCount);
        const bool isFailure = common == FailureEvidence::Failed || !isSilenceSpread(entry.service, now);
        if (isFailure && now >= zone.avoidUntil)
            declareOwn(
                zone, { entry.service, entry.availabilityZone, failures.front().at, now, failures.size(), common });
        if (isFailure) {
            zone.avoidUntil = now + m_settings.avoidZone;
            for (const auto& failure : failures)
                zone.hasAnswered.try_emplace(failure.endpointId, false);
        }
    }
    if (evidence != FailureEvidence::Failed)
        retractSpreadSilence(entry.service, now);
}

void EndpointDirectory::declareOwn(ZoneHealth& zone, ZoneFailure failure)
{
    zone.previouslyFailedAt = std::exchange(zone.failedAt, failure.declaredAt);
    zone.hasAnswered.clear();
    LogEvent("zone.avoided")
        .text("zone", failure.zone)
        .number("failed_endpoints", static_cast<std::int64_t>(failure.endpoints))
        .text("evidence", nameIn(failureEvidenceNames, failure.evidence))
        .number("for_ms", m_settings.avoidZone.count())
        .write();
    noteZoneFailed(failure, ZoneFailureSource::Own);
    zone.failure = std::move(failure);
}

void EndpointDirectory::retractOwn(ZoneHealth& zone, RetractionReason reason, Milliseconds now)
{
    noteRetraction(*zone.failure, ZoneFailureSource::Own, reason, now);
    zone.failure.reset();
    zone.hasAnswered.clear();
    zone.failedAt = zone.previouslyFailedAt;
    zone.avoidUntil = Milliseconds { 0 };
}

void EndpointDirectory::retractSpreadSilence(const std::string& service, Milliseconds now)
{
    if (!isSilenceSpread(service, now))
        return;
    for (auto& [name, zone] : m_zones) {
        const auto& failure = zone.failure;
        if (failure && failure->service == service && failure->evidence != FailureEvidence::Failed
            && now - failure->declaredAt <= m_settings.zoneFailureWindow)
            retractOwn(zone, RetractionReason::Spread, now);
    }
}

void EndpointDirectory::noteRetraction(
    const ZoneFailure& failure, ZoneFailureSource source, RetractionReason reason, Milliseconds now) const
{
    LogEvent("zone.failure-retracted")
        .text("service", failure.service)
        .text("zone", failure.zone)
        .text("source", nameIn(zoneFailureSourceNames, source))
        .text("reason", nameIn(retractionReasonNames, reason))
        .number("after_ms", (now - failure.declaredAt).count())
        .write();
    if (m_onZoneRetraction)
        m_onZoneRetraction(source, reason);
}

void EndpointDirectory::noteZoneFailed(const ZoneFailure& failure, ZoneFailureSource source)
{
    LogEvent("zone.failed")
        .text("service", failure.service)
        .text("zone", failure.zone)
        .text("source", nameIn(zoneFailureSourceNames, source))
        .number("endpoints", static_cast<std::int64_t>(failure.endpoints))
        .text("evidence", nameIn(failureEvidenceNames, failure.evidence))
        .write();
    if (m_onZoneFailure)
        m_onZoneFailure(source, failure.evidence);
}

void EndpointDirectory::reportFailure(const RelayEndpoint& endpoint, FailureEvidence evidence) const
{
    // The runs of an endpoint that is being removed end with it.
    if (!m_onFailure || !m_settings.policies.has(Policy::ZoneAvoidance) || endpoint.isShuttingDown())
        return;
    if (!m_connector) {
        m_onFailure(endpoint, evidence);
        return;
    }
    m_connector->ifReachable([this, id = endpoint.entry().id, evidence] {
        if (const auto known = find(id); known && !known->isShuttingDown())
            m_onFailure(*known, evidence);
    });
}

bool EndpointDirectory::applyZoneFailure(const ZoneFailure& failure, Milliseconds now)
{
    // Services and zones that this VM does not know come from a VM with another list, or from an invalid message.
    if (!m_settings.policies.has(Policy::ZoneAvoidance) || endpointsOf(failure.service, failure.zone).empty())
        return false;
    auto& known = m_declaredFailures[failure.service][failure.zone];
    // Several collectors declare the same failure, perhaps after another one has retracted it.
    const bool isRetracted = known.retractedAt && failure.firstFailureAt <= *known.retractedAt;
    if (failure.declaredAt < known.avoidUntil || isRetracted)
        return false;
    known = { failure.declaredAt + m_settings.avoidZone, { failure.firstFailureAt, now },
        known.retractedAt ? known.previous : known.times, std::nullopt };
    m_zoneFailures[failure.service].add(failure.zone, failure.firstFailureAt);
    noteZoneFailed(failure, ZoneFailureSource::Collector);
    logEstimate(failure.service, now);
    return true;
}

bool EndpointDirectory::retractZoneFailure(const ZoneFailure& failure, RetractionReason reason, Milliseconds now)
{
    if (endpointsOf(failure.service, failure.zone).empty())
        return false;
    m_zoneFailures[failure.service].retract(failure.zone, failure.firstFailureAt);
    auto& known = m_declaredFailures[failure.service][failure.zone];
    const auto difference = std::chrono::abs(known.times.firstFailureAt - failure.firstFailureAt);
    if (known.retractedAt || difference > ZoneFailureDetector::window)
        return false;
    known = { Milliseconds { 0 }, known.previous, known.previous, now };
    noteRetraction(failure, ZoneFailureSource::Collector, reason, now);
    return true;
}

void EndpointDirectory::addToHistory(
    const std::string& service, const std::vector<ZoneFailureHistory::Failure>& failures)
{
    if (endpointsOf(service).empty())
        return;
    for (const auto& failure : failures)
        m_zoneFailures[service].add(failure.zone, failure.at);
}

const ZoneFailureHistory& EndpointDirectory::zoneFailures(const std::string& service) const
{
    static const ZoneFailureHistory none;
    const auto found = m_zoneFailures.find(service);
    return found == m_zoneFailures.end() ? none : found->second;
}

std::vector<std::string> EndpointDirectory::zonesOf(const std::string& service) const
{
    std::vector<std::string> zones;
    if (const auto found = m_endpointsByService.find(service); found != m_endpointsByService.end()) {
        for (const auto& zone : found->second.byZone) {
            if (!zone.second.empty())
                zones.push_back(zone.first);
        }
    }
    std::sort(zones.begin(), zones.end());
    return zones;
}

void EndpointDirectory::logEstimate(const std::string& service, Milliseconds now)
{
    const auto zones = zonesOf(service);
    const auto& history = m_zoneFailures[service];
    const auto shares = history.shares(zones);
    const auto highest = std::max_element(shares.begin(), shares.end());
    const auto& next = zones[static_cast<std::size_t>(highest - shares.begin())];
    const auto percent = static_cast<std::int64_t>(100 * *highest);
    auto& logged = m_loggedEstimates[service];
    const bool isEqual = *highest - *std::min_element(shares.begin(), shares.end()) < equalShares;
    if (logged.isEqual == isEqual && std::abs(logged.percent - percent) < loggedChangePercent)
        return;
    logged = { isEqual, percent };
    LogEvent("zone.risk-estimated")
        .text("service", service)
        .text("next_zone", isEqual ? "" : next)
        .number("probability_percent", percent)
        .number("interval_ms", static_cast<std::int64_t>(1000 / std::max(history.rate(now), 0.001)))
        .write();
}

const EndpointDirectory::DeclaredFailure* EndpointDirectory::declaredFailure(
    const std::string& service, const std::string& zone) const
{
    const auto ofService = m_declaredFailures.find(service);
    if (ofService == m_declaredFailures.end())
        return nullptr;
    const auto found = ofService->second.find(zone);
    return found == ofService->second.end() ? nullptr : &found->second;
}

bool EndpointDirectory::isSuspected(const RelayEndpoint& endpoint, Milliseconds now) const
{
    const auto isSince = [&](Milliseconds failedAt) {
        const auto listedAgainBy = failedAt + m_settings.suspectAfterZoneFailure;
        const bool isListOlder = m_listConfirmedAt > Milliseconds { 0 } && m_listConfirmedAt < listedAgainBy;
        return failedAt > endpoint.lastAliveAt() && (now < listedAgainBy || isListOlder);
    };
    const auto& entry = endpoint.entry();
    const auto zone = m_zones.find(entry.availabilityZone);
    const auto* declared = declaredFailure(entry.service, entry.availabilityZone);
    return (zone != m_zones.end() && isSince(zone->second.failedAt))
        || (declared && isSince(declared->times.firstFailureAt));
}

bool EndpointDirectory::hasZoneFailedSince(
    const std::string& service, const std::string& zone, Milliseconds since) const
{
    const auto found = m_zones.find(zone);
    const auto* declared = declaredFailure(service, zone);
    // A copy that was ordered after the failure but before this VM was notified is lost as well.
    return (found != m_zones.end() && found->second.failedAt > since)
        || (declared && declared->times.appliedAt > since);
}

bool EndpointDirectory::isLostWithZone(const RelayEndpoint& endpoint, Milliseconds since) const
{
    const auto& entry = endpoint.entry();
    const auto isLoss = [&](Milliseconds failedAt) {
        return failedAt > since && endpoint.lastConfirmedAt() < failedAt + minTimeToSignOfLife;
    };
    const auto zone = m_zones.find(entry.availabilityZone);
    const auto* declared = declaredFailure(entry.service, entry.availabilityZone);
    return (zone != m_zones.end() && isLoss(zone->second.failedAt)) || (declared && isLoss(declared->times.appliedAt));
}

bool EndpointDirectory::isZoneAvoided(const std::string& service, const std::string& zone, Milliseconds now) const
{
    const auto found = m_zones.find(zone);
    const auto* declared = declaredFailure(service, zone);
    return (found != m_zones.end() && now < found->second.avoidUntil) || (declared && now < declared->avoidUntil);
}

} // namespace lupinknot::internal
