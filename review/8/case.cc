// Case 8: another writer leaves entries with a service that the configuration does not name, and all machines of the
// system are killed. Are the runners that stand at the addresses of such entries used after the recovery time?
#include "../common-2/world.hpp"

using namespace world;

namespace {

constexpr int runnerCount = 3;
// Routes of the operator: the whole configuration stays below row-bytes.
constexpr int moreRoutes = 280;
constexpr int mostKills = 5;
constexpr milliseconds recovery { 12'000 };
constexpr milliseconds measured { 4'000 };

json configuration()
{
    json whole { { "version", 7 },
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
        { "tenants", json::array({ { { "name", "huka270" }, { "api-keys", json::array({ "key-1" }) } } }) } };
    for (int i = 0; i < moreRoutes; ++i) {
        auto route = whole["routes"][0];
        route["name"] = "r-more-" + std::to_string(i);
        route["path-prefix"] = "/more-" + std::to_string(i) + "/";
        whole["routes"].push_back(std::move(route));
    }
    return whole;
}

struct Count {
    int asked { 0 };
    int served { 0 };
};

// Ten requests a second at each machine.
Count ask(const std::vector<Entry*>& machines, milliseconds time)
{
    Count count;
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
        for (const auto* machine : machines) {
            const auto id = newId();
            Connection connection(machine->front());
            const auto answer = connection.ask(requestText("GET", "/thumb/" + id, "gallery.example", id,
                                                   { { "X-Deadline-Ms", "1500" }, { "Api-Key", "key-1" } }),
                milliseconds(1600));
            ++count.asked;
            count.served += answer.status == 200;
            record("client: %s at %s: %d %s%s", id.c_str(), machine->name().c_str(), answer.status,
                answer.problem.c_str(), answer.status == 200 ? "" : answer.message.body.c_str());
        }
        pause(milliseconds(100));
    }
    return count;
}

} // namespace

int main(int, char** argv)
{
    begin(argv[1]);
    Store store({ hostNumber(10), 8742 });
    store.start();
    store.put("op", "config", configuration().dump());
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        runners.push_back(std::make_unique<Runner>(
            store, Address { hostNumber(20 + i), 8080 }, "trellis", i % 2 ? "hall-b" : "hall-a"));
        runners.back()->start("i-" + newId());
    }
    Entry first(1, "hall-a", store.address(), { hostNumber(1), hostNumber(2) });
    Entry second(2, "hall-b", store.address(), { hostNumber(1), hostNumber(2) });
    const std::vector<Entry*> machines { &first, &second };
    for (auto* machine : machines)
        machine->start(true);
    for (auto* machine : machines) {
        if (!awaitReady(*machine))
            cannotRun("a machine does not get ready");
    }
    pause(milliseconds(1000));
    const auto served = ask(machines, milliseconds(4000));

    Count beside;
    if (hasTrouble()) {
        for (const auto& runner : runners) {
            auto entry = runner->entry("ready");
            entry["service"] = "trellis-probe";
            store.put("servers", "probe-" + runner->id(), entry.dump());
            record("another writer lists probe-%s: %s", runner->id().c_str(), entry.dump().c_str());
        }
        pause(milliseconds(3000));
        beside = ask(machines, milliseconds(2000));
        record("beside these entries, %d of %d served", beside.served, beside.asked);
    }
    // The kill of all processes may come more than once in a day; the last one is the day's final fault.
    auto before = served;
    Count after;
    bool isBroken = false;
    int kills = 0;
    while (!isBroken && kills < mostKills) {
        ++kills;
        for (auto* machine : machines)
            machine->killNow();
        pause(milliseconds(300));
        for (auto* machine : machines)
            machine->start(false);
        const auto backAt = Clock::now();
        for (auto* machine : machines)
            awaitReady(*machine, milliseconds(5000));
        std::this_thread::sleep_until(backAt + recovery);
        after = ask(machines, measured);
        record("kill %d: before it %d of %d served, later than recovery-s after it %d of %d", kills, before.served,
            before.asked, after.served, after.asked);
        isBroken = 4 * before.served >= before.asked && 4 * after.served < after.asked;
        if (!isBroken)
            before = after;
    }
    printf("case 8: kill %d: %d of %d served before it, %d of %d later than recovery-s after it\n", kills,
        before.served, before.asked, after.served, after.asked);
    fflush(stdout);
    first.keepLog();
    second.keepLog();
    leave(isBroken ? exitBroken : exitHeld);
}
