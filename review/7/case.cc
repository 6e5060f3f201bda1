// Case 7: the runners of a small service crash and start again at their addresses, and all machines of the system are
// killed while the entries of both processes are listed. Is the service served after the recovery time?
#include "../common-2/world.hpp"

using namespace world;

namespace {

constexpr int runnerCount = 3;
constexpr milliseconds downFor { 1200 };
constexpr milliseconds recovery { 12'000 };
constexpr milliseconds measured { 8'000 };

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
        { "tenants", json::array({ { { "name", "huka270" }, { "api-keys", json::array({ "key-1" }) } } }) } };
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
        // Ids are any texts; the first ones sort after the later ones here.
        runners.back()->start("i-9" + newId().substr(1));
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
    const auto before = ask(machines, milliseconds(4000));

    if (hasTrouble()) {
        for (auto& runner : runners)
            runner->crash();
        pause(downFor);
        for (auto& runner : runners)
            runner->start("i-1" + newId().substr(1));
    } else {
        pause(downFor);
    }
    for (auto* machine : machines)
        machine->killNow();
    pause(milliseconds(300));
    std::string listed;
    for (const auto& key : store.keys("servers"))
        listed += " " + key;
    record("listed as the machines start:%s", listed.c_str());
    for (auto* machine : machines)
        machine->start(false);
    const auto backAt = Clock::now();
    for (auto* machine : machines)
        awaitReady(*machine, milliseconds(5000));
    std::this_thread::sleep_until(backAt + recovery);
    const auto after = ask(machines, measured);

    const bool isBroken = 4 * before.served >= before.asked && 4 * after.served < after.asked;
    record("before the final fault %d of %d served, later than recovery-s after it %d of %d", before.served,
        before.asked, after.served, after.asked);
    printf("case 7: %d of %d served before the final fault, %d of %d later than recovery-s after it\n", before.served,
        before.asked, after.served, after.asked);
    fflush(stdout);
    first.keepLog();
    second.keepLog();
    leave(isBroken ? exitBroken : exitHeld);
}
