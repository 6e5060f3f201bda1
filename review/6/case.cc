// Case 6: the platform's store forgets its history while the configuration changes. Do the machines of a zone act on
// the newest configuration once they are in touch again?
#include "../common-2/world.hpp"

using namespace world;

namespace {

constexpr int machineCount = 8;
constexpr int cycleCount = 10;
// From the sheet.
constexpr milliseconds configApply { 2000 };
constexpr milliseconds contact { 3000 };
// Watches hear nothing for a second while changes are made.
constexpr milliseconds silence { 1000 };
constexpr int changeTimes[] { 300, 630, 960 };
// Time for a change to be written and for the clocks of this test.
constexpr milliseconds reserve { 100 };

json configuration()
{
    return { { "version", 7 },
        { "routes",
            json::array({ { { "name", "r-thumb" }, { "host", "gallery.example" }, { "path-prefix", "/thumb/" },
                { "kind", "idempotent" }, { "timeout-ms", 800 }, { "slo-ms", 100 }, { "priority", 2 },
                { "service", "trellis" }, { "max-attempts", 2 }, { "public", false } } }) },
        { "services",
            json::array({ { { "name", "trellis" }, { "health-path", "/healthz" }, { "max-conns", 100 },
                { "protocol", "h1" }, { "tls", false } } }) },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4194304 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "tenants", json::array({ { { "name", "huka270" }, { "api-keys", json::array({ "key-kept" }) } } }) } };
}

// The operator: each change takes away the key of the change before, adds a key and a route.
class Operator {
public:
    explicit Operator(Store& store)
        : m_store(store)
        , m_configuration(configuration())
    {
        write();
    }

    void change()
    {
        const auto version = m_configuration["version"].get<int>() + 1;
        m_configuration["version"] = version;
        m_droppedKey = m_newestKey;
        m_newestKey = "key-" + std::to_string(version);
        m_newestPath = "/added-" + std::to_string(version) + "/";
        m_configuration["tenants"][0]["api-keys"] = json::array({ "key-kept", m_newestKey });
        auto route = m_configuration["routes"][0];
        route["name"] = "r-" + std::to_string(version);
        route["path-prefix"] = m_newestPath;
        m_configuration["routes"].push_back(route);
        write();
        m_changedAt = Clock::now();
        record("operator: version %d adds %s and takes away %s", version, m_newestPath.c_str(), m_droppedKey.c_str());
    }

    const std::string& droppedKey() const { return m_droppedKey; }
    const std::string& newestPath() const { return m_newestPath; }
    Clock::time_point changedAt() const { return m_changedAt; }

private:
    void write() { m_store.put("op", "config", m_configuration.dump()); }

    Store& m_store;
    json m_configuration;
    std::string m_newestKey;
    std::string m_droppedKey;
    std::string m_newestPath;
    Clock::time_point m_changedAt;
};

int ask(const Entry& machine, const std::string& path, const std::string& key)
{
    const auto id = newId();
    Connection connection(machine.front());
    const auto answer = connection.ask(
        requestText("GET", path + id, "gallery.example", id, { { "X-Deadline-Ms", "1500" }, { "Api-Key", key } }),
        milliseconds(1600));
    record("client: %s at %s, %s with %s: %d", id.c_str(), machine.name().c_str(), path.c_str(), key.c_str(),
        answer.status);
    return answer.status;
}

} // namespace

int main(int, char** argv)
{
    begin(argv[1]);
    Store store({ hostNumber(60), 8742 });
    store.start();
    Operator changes(store);
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < 3; ++i) {
        runners.push_back(std::make_unique<Runner>(store, Address { hostNumber(70 + i), 8080 }, "trellis", "hall-a"));
        runners.back()->start("i-" + newId());
    }
    std::vector<std::unique_ptr<Entry>> machines;
    for (int i = 1; i <= machineCount; ++i) {
        machines.push_back(std::make_unique<Entry>(
            i, "hall-a", store.address(), std::vector<std::string> { hostNumber(1), hostNumber(2), hostNumber(3) }));
        machines.back()->start(true);
    }
    for (auto& machine : machines) {
        if (!awaitReady(*machine))
            cannotRun("a machine does not get ready");
    }
    pause(milliseconds(6000));
    changes.change();
    pause(milliseconds(4000));

    int refused = 0;
    int ranWithDroppedKey = 0;
    int asked = 0;
    for (int cycle = 0; cycle < cycleCount; ++cycle) {
        const auto begun = Clock::now();
        std::thread trouble([&] {
            if (hasTrouble()) {
                record("store: watches hear nothing");
                store.forgetHistory(silence);
                record("store: the history is dropped, and the watches are cut");
            } else {
                pause(silence);
            }
        });
        for (const int time : changeTimes) {
            std::this_thread::sleep_until(begun + milliseconds(time));
            changes.change();
        }
        trouble.join();
        const auto troubleEnded = Clock::now();
        // From now on all machines are in touch and bound by the newest version.
        const auto bound = std::max(troubleEnded + contact, changes.changedAt() + configApply) + reserve;
        std::this_thread::sleep_until(bound);
        int stale = 0;
        for (int round = 0; round < 6; ++round) {
            for (const auto& machine : machines) {
                const bool isRefused = ask(*machine, changes.newestPath(), "key-kept") == 404;
                const bool hasRun = ask(*machine, "/thumb/", changes.droppedKey()) == 200;
                asked += 2;
                refused += isRefused;
                ranWithDroppedKey += hasRun;
                stale += isRefused || hasRun;
            }
            pause(milliseconds(100));
        }
        record("cycle %d: %d pairs of requests show an older version", cycle, stale);
        std::this_thread::sleep_until(begun + milliseconds(8000));
    }
    record("%d requests of machines in touch, later than config-apply-ms: %d refused with 404 on a route that is "
           "there, %d "
           "run with a key that was taken away",
        asked, refused, ranWithDroppedKey);
    printf("case 6: of %d requests, %d were refused with 404 on a route that is there, %d ran with a dropped key\n",
        asked, refused, ranWithDroppedKey);
    fflush(stdout);
    for (const auto& machine : machines)
        machine->keepLog();
    leave(refused + ranWithDroppedKey > 0 ? exitBroken : exitHeld);
}
