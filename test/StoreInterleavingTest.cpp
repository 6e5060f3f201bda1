#include "TableHistory.h"
#include "relay/EndpointDirectory.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

// A VM receives the rows of the platform's store from the store and from other VMs, late and out of order, while the
// store is restored from older copies, reuses versions, and has its rows rewritten by their writers. The test simulates
// a store, its writers and some VMs step by step, without sockets, and checks them against what the writers know: no VM
// returns to an older configuration; no VM sends requests to an endpoint that it knows to be shutting down; no VM loses
// a live endpoint that has had time to rewrite its entry; and after the writers have written again and each VM has had
// a response, each VM knows the newest configuration and exactly the live endpoints.
namespace {

constexpr Milliseconds heartbeat { 1200 };
constexpr Milliseconds tick { 50 };
constexpr std::size_t pageSize = 3;

// The rows of both tables, with the store's versions.
struct StoreTables {
    std::map<std::string, std::map<std::string, StoreRow>> tables;
    std::uint64_t version { 0 };
};

struct SimulatedEndpoint {
    EndpointEntry entry;
    bool isAlive { true };
    Milliseconds nextWrite { 0 };
};

// A response on its way to a VM.
struct Delivery {
    Milliseconds at;
    std::function<void()> deliver;
};

struct SimulatedVm {
    SimulatedVm(boost::asio::io_context& ioContext, const RelaySettings& settings)
        : directory(std::make_unique<EndpointDirectory>(ioContext, settings))
    {
    }

    void confirm(Milliseconds instant)
    {
        confirmedAt = std::max(confirmedAt, instant);
        directory->listConfirmed(confirmedAt);
    }

    std::uint64_t era { 0 };
    Milliseconds confirmedAt { 0 };
    TableHistory configurations { "op" };
    TableHistory endpoints { "servers" };
    std::unique_ptr<EndpointDirectory> directory;
    std::uint64_t configuration { 0 };
    // Incarnations that this VM knows to be shutting down.
    std::set<std::string> knownShuttingDown;
    // Incarnations whose entries this VM knows to be removed.
    std::set<std::string> knownRemoved;
    // Indexed by table: requests to the store and to other VMs overlap.
    bool isCallingStore[2] { false, false };
    bool isCallingVm[2] { false, false };
    // Until then this VM cannot reach the store.
    Milliseconds unreachableUntil { 0 };
};

class Simulation {
public:
    explicit Simulation(unsigned seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i)
            m_vms.emplace_back(m_ioContext, m_settings);
        for (int i = 0; i < 4; ++i)
            startEndpoint();
        writeConfiguration();
    }

    void run(Milliseconds time, bool withFaults)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += tick)
            step(withFaults);
    }

    // The violation so far, or an empty text.
    std::string problem() const { return m_problem; }

    // The violation that remains after the writers have written again and all responses have arrived, or an empty text.
    std::string finalProblem()
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            const auto name = "VM " + std::to_string(i) + ": ";
            if (vm.configuration != m_configuration)
                return name + "configuration " + std::to_string(vm.configuration) + " instead of "
                    + std::to_string(m_configuration);
            for (const auto& endpoint : m_endpoints) {
                const auto known = vm.directory->find(endpoint.entry.id);
                const bool isListed = known && !known->isRemoved();
                const bool takesWork = known && known->mayTakeWork(m_now, m_settings.removedEndpointGrace);
                if (isListed != endpoint.isAlive)
                    return name + endpoint.entry.id
                        + (isListed ? " is listed although it has ended" : " is alive but not listed");
                if (takesWork && endpoint.entry.isDraining)
                    return name + endpoint.entry.id + " gets requests while shutting down";
                if (endpoint.isAlive && !endpoint.entry.isDraining && !takesWork)
                    return name + endpoint.entry.id + " gets no requests";
            }
        }
        return "";
    }

private:
    bool happens(double share) { return std::bernoulli_distribution(share)(m_random); }
    std::int64_t number(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        m_store.tables[table][key] = { key, value, false, ++m_store.version };
    }

    void remove(const std::string& table, const std::string& key)
    {
        m_store.tables[table][key] = { key, "", true, ++m_store.version };
    }

    void startEndpoint()
    {
        const auto id = "e" + std::to_string(m_endpoints.size());
        SimulatedEndpoint endpoint { { id, "s", { "127.0.0.1", static_cast<std::int64_t>(m_endpoints.size()) + 1 },
            "a" } };
        m_endpoints.push_back(std::move(endpoint));
        writeEndpoint(m_endpoints.back());
    }

    // Writes the entry only when its state has changed or the store has lost it.
    void writeEndpoint(SimulatedEndpoint& endpoint)
    {
        endpoint.nextWrite = m_now + heartbeat;
        const std::string value = endpoint.entry.isDraining ? "draining" : "ready";
        const auto row = m_store.tables["servers"].find(endpoint.entry.id);
        if (row == m_store.tables["servers"].end() || row->second.isRemoved || row->second.value != value)
            put("servers", endpoint.entry.id, value);
        m_lastWrite[endpoint.entry.id] = m_now;
    }

    void writeConfiguration()
    {
        ++m_configuration;
        put("op", "config", std::to_string(m_configuration));
    }

    void step(bool withFaults)
    {
        if (m_now >= m_unavailableUntil)
            runWriters(withFaults);
        if (withFaults && m_now >= m_unavailableUntil && happens(0.02))
            stopStore();
        if (m_isUnavailable && m_now >= m_unavailableUntil)
            restoreStore();
        if (withFaults && happens(0.01))
            m_vms[number(0, 2)].unreachableUntil = m_now + Milliseconds { number(200, 3000) };
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            startRequests(i);
        deliver();
        for (auto& vm : m_vms)
            vm.directory->dropExpired(m_now);
        check();
    }

    void runWriters(bool withFaults)
    {
        if (m_now >= m_nextCopy) {
            m_copies.push_back(m_store);
            m_copies.erase(m_copies.begin(), m_copies.begin() + std::max<std::ptrdiff_t>(0, std::ssize(m_copies) - 12));
            m_nextCopy = m_now + Milliseconds { 300 };
        }
        if (m_rewriteConfigurationAt && m_now >= *m_rewriteConfigurationAt) {
            m_rewriteConfigurationAt.reset();
            put("op", "config", std::to_string(m_configuration));
        }
        for (auto& endpoint : m_endpoints) {
            if (endpoint.isAlive && m_now >= endpoint.nextWrite)
                writeEndpoint(endpoint);
        }
        expireEntries();
        // Rows that other parts of the system write raise the store's version.
        if (happens(0.5))
            ++m_store.version;
        if (!withFaults)
            return;
        if (happens(0.03))
            writeConfiguration();
        if (happens(0.02) && m_endpoints.size() < 30)
            startEndpoint();
        if (happens(0.02))
            changeAnEndpoint();
    }

    void changeAnEndpoint()
    {
        auto& endpoint = m_endpoints[number(0, std::ssize(m_endpoints) - 1)];
        if (!endpoint.isAlive)
            return;
        if (!endpoint.entry.isDraining) {
            endpoint.entry.isDraining = true;
            writeEndpoint(endpoint);
        } else {
            endpoint.isAlive = false;
            remove("servers", endpoint.entry.id);
        }
    }

    void expireEntries()
    {
        for (auto& [id, row] : m_store.tables["servers"]) {
            if (!row.isRemoved && m_now - std::max(m_lastWrite[id], m_restoredAt) > 3 * heartbeat)
                remove("servers", id);
        }
    }

    void stopStore()
    {
        m_isUnavailable = true;
        m_unavailableUntil = m_now + Milliseconds { happens(0.4) ? 0 : number(0, 2500) };
    }

    void restoreStore()
    {
        m_isUnavailable = false;
        m_store = m_copies[number(0, std::ssize(m_copies) - 1)];
        ++m_era;
        m_restoredAt = m_now;
        m_rewriteConfigurationAt = m_now + Milliseconds { number(0, 1000) };
        for (auto& endpoint : m_endpoints)
            endpoint.nextWrite = m_now + Milliseconds { number(0, heartbeat.count() - tick.count()) };
    }

    void startRequests(std::size_t index)
    {
        for (const int table : { 0, 1 }) {
            auto& vm = m_vms[index];
            // After its first read, the last VM gets all data from the other VMs.
            const bool isFollower = index + 1 == m_vms.size() && historyOf(vm, table).position();
            if (!vm.isCallingVm[table] && (isFollower || happens(0.1)))
                callVm(index, table);
            if (!vm.isCallingStore[table] && !isFollower && m_now >= vm.unreachableUntil && !m_isUnavailable)
                callStore(index, table);
        }
    }

    TableHistory& historyOf(SimulatedVm& vm, int table) { return table == 0 ? vm.configurations : vm.endpoints; }

    // Delivers the response after a random delay; the flag is set while the request is in flight.
    void deliverLater(bool& isInFlight, std::function<void()> handle)
    {
        isInFlight = true;
        m_deliveries.push_back({ m_now + Milliseconds { number(0, 300) }, [&isInFlight, handle] {
                                    isInFlight = false;
                                    handle();
                                } });
    }

    // The store processes the request at once; the response arrives later.
    void callStore(std::size_t index, int table)
    {
        auto& vm = m_vms[index];
        auto& history = historyOf(vm, table);
        const auto& rows = m_store.tables[table == 0 ? "op" : "servers"];
        const HistoryPosition responsePosition { m_era, m_store.version };
        std::vector<StoreRow> sentRows;
        bool hasMore = false;
        bool isGone = false;
        if (history.startRequest(vm.era)) {
            const auto from = history.lastKey();
            for (auto row = from ? rows.upper_bound(*from) : rows.begin(); row != rows.end() && !hasMore; ++row) {
                hasMore = sentRows.size() == pageSize;
                if (!hasMore && !row->second.isRemoved)
                    sentRows.push_back(row->second);
            }
        } else {
            isGone = history.position()->version > m_store.version;
            for (const auto& row : rows) {
                if (row.second.version > history.position()->version)
                    sentRows.push_back(row.second);
            }
        }
        deliverLater(vm.isCallingStore[table],
            [this, &vm, &history, table, sentRows, hasMore, isGone, responsePosition, at = m_now] {
                const bool isEarlier = responsePosition.era < vm.era;
                vm.era = std::max(vm.era, responsePosition.era);
                if (isGone)
                    history.noteHistoryGone(responsePosition.era);
                else
                    applyUpdate(vm, table, history.applyResponse(sentRows, hasMore, responsePosition));
                if (!isEarlier && !isGone && table == 1 && history.position()
                    && history.position()->era == responsePosition.era)
                    vm.confirm(at);
            });
    }

    void callVm(std::size_t index, int table)
    {
        const auto other = static_cast<std::size_t>(number(0, 2));
        auto& vm = m_vms[index];
        auto& history = historyOf(vm, table);
        const auto& othersHistory = historyOf(m_vms[other], table);
        if (other == index || !othersHistory.position())
            return;
        const auto text
            = othersHistory.encodeChanges(history.position().value_or(HistoryPosition {}), Milliseconds { 0 });
        const auto position = *othersHistory.position();
        deliverLater(
            vm.isCallingVm[table], [this, &vm, &history, table, text, position, at = m_vms[other].confirmedAt] {
                const auto body = nlohmann::json::parse(text);
                vm.era = std::max(vm.era, position.era);
                if (position.era != vm.era)
                    return;
                applyUpdate(vm, table, history.applyFromVm(decodeRows(body), body.value("whole", false), position));
                if (table == 1 && history.position() && *history.position() >= position)
                    vm.confirm(at);
            });
    }

    void applyUpdate(SimulatedVm& vm, int table, const std::optional<TableUpdate>& update)
    {
        if (!update)
            return;
        if (table == 0) {
            // Configurations are ordered by their own version.
            for (const auto& row : update->rows)
                vm.configuration = std::max<std::uint64_t>(vm.configuration, std::stoull(row.value));
            return;
        }
        if (update->isRestored)
            vm.directory->listRestored(m_now);
        std::vector<EndpointEntry> entries;
        std::vector<EndpointChange> changes;
        for (const auto& row : update->rows) {
            auto entry = entryOf(row);
            if (row.isRemoved)
                vm.knownRemoved.insert(row.key);
            else if (entry.isDraining)
                vm.knownShuttingDown.insert(row.key);
            changes.push_back({ entry, row.isRemoved });
            entries.push_back(std::move(entry));
        }
        if (update->isWhole)
            vm.directory->replaceAll(std::move(entries), m_now);
        else
            vm.directory->change(std::move(changes), m_now);
    }

    EndpointEntry entryOf(const StoreRow& row) const
    {
        auto entry = m_endpoints[std::stoul(row.key.substr(1))].entry;
        entry.isDraining = row.value == "draining";
        return entry;
    }

    void deliver()
    {
        for (std::size_t i = 0; i < m_deliveries.size();) {
            if (m_deliveries[i].at > m_now) {
                ++i;
                continue;
            }
            const auto handle = std::move(m_deliveries[i].deliver);
            m_deliveries.erase(m_deliveries.begin() + static_cast<std::ptrdiff_t>(i));
            handle();
        }
    }

    void check()
    {
        for (auto& vm : m_vms) {
            for (const auto& id : vm.knownShuttingDown) {
                const auto known = vm.directory->find(id);
                if (known && known->mayTakeWork(m_now, m_settings.removedEndpointGrace))
                    m_problem = id + " gets requests after its shutdown was announced";
            }
            checkRemovedStayRemoved(vm);
            checkLiveStayListed(vm);
        }
    }

    void checkRemovedStayRemoved(const SimulatedVm& vm)
    {
        for (const auto& id : vm.knownRemoved) {
            const auto known = vm.directory->find(id);
            if (known && !known->isRemoved())
                m_problem = id + " is listed again after its removal";
        }
    }

    // A live endpoint that this VM has listed must stay listed.
    void checkLiveStayListed(SimulatedVm& vm)
    {
        for (const auto& endpoint : m_endpoints) {
            const auto known = vm.directory->find(endpoint.entry.id);
            const bool isListed = known && !known->isRemoved();
            auto& wasListed = m_wasListed[{ &vm, endpoint.entry.id }];
            if (wasListed && !isListed && endpoint.isAlive)
                m_problem = endpoint.entry.id + " is alive but was removed from the list";
            wasListed = isListed;
        }
    }

    std::mt19937 m_random;
    boost::asio::io_context m_ioContext;
    const RelaySettings m_settings;
    std::deque<SimulatedVm> m_vms;
    std::vector<SimulatedEndpoint> m_endpoints;
    std::map<std::string, Milliseconds> m_lastWrite;
    std::map<std::pair<const SimulatedVm*, std::string>, bool> m_wasListed;
    StoreTables m_store;
    std::vector<StoreTables> m_copies;
    std::vector<Delivery> m_deliveries;
    Milliseconds m_now { 100000 };
    Milliseconds m_nextCopy { 0 };
    Milliseconds m_unavailableUntil { 0 };
    Milliseconds m_restoredAt { 0 };
    std::optional<Milliseconds> m_rewriteConfigurationAt;
    bool m_isUnavailable { false };
    std::uint64_t m_era { 0 };
    std::uint64_t m_configuration { 0 };
    std::string m_problem;
};

std::string problemOf(unsigned seed)
{
    Simulation simulation(seed);
    simulation.run(Milliseconds { 12000 }, true);
    if (!simulation.problem().empty())
        return simulation.problem();
    // Time for the writes after a restore, three heartbeats until an entry expires, and the responses.
    simulation.run(Milliseconds { 9000 }, false);
    return simulation.problem().empty() ? simulation.finalProblem() : simulation.problem();
}

} // namespace

TEST_GROUP(StoreInterleaving) {};

TEST(StoreInterleaving, NoOrderOfResponsesAndRestoresBreaksAGuarantee)
{
    // By hand, some 30,000 seeds take a minute.
    const char* const wanted = std::getenv("INTERLEAVING_SEEDS");
    const auto seeds = wanted ? std::stoul(wanted) : 400;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const auto problem = problemOf(seed);
        if (!problem.empty())
            FAIL(("seed " + std::to_string(seed) + ": " + problem).c_str());
    }
}
