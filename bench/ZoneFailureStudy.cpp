// Compares ways to detect that the engines of a zone have failed together, and ways to predict which zone fails next.
//
// Detection: simulated fleets, in which each VM sees the losses of its own runs. Prediction: simulated sequences of
// zone failures. The seeds are fixed, so each run prints the same tables; docs/design/zone-failures.md contains them.

#include "health/ZoneFailureDetector.h"
#include "health/ZoneFailureHistory.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

using Random = std::mt19937_64;

int uniform(Random& random, int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); }
double uniform(Random& random, double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(random);
}

// ---- Detection

struct Fleet {
    const char* name;
    int vms;
    int engines;
    int runs;
};

// A loss that a VM sees; times count from the failure of the zone.
struct Loss {
    Milliseconds at;
    int vm;
    int engine;
};

constexpr int zoneCount = 3;

// The losses of one failure of zone 0. A reset is seen at once; silence after the time of a probe or, before the first
// event (15% of the runs), after 1 to 2.5 s.
std::vector<Loss> lossesOf(const Fleet& fleet, bool isSilent, Random& random)
{
    const int inZone = fleet.engines / zoneCount;
    std::vector<bool> hasFailed;
    hasFailed.reserve(static_cast<std::size_t>(inZone));
    const auto share = uniform(random, 0.86, 0.99);
    for (int i = 0; i < inZone; ++i)
        hasFailed.push_back(uniform(random, 0.0, 1.0) < share);
    std::vector<Loss> losses;
    for (int run = 0; run < fleet.runs; ++run) {
        const int engine = uniform(random, 0, fleet.engines - 1);
        if (engine >= inZone || !hasFailed[static_cast<std::size_t>(engine)])
            continue;
        const bool isBeforeFirstEvent = uniform(random, 0.0, 1.0) < 0.15;
        const int seen = !isSilent ? uniform(random, 1, 10)
            : isBeforeFirstEvent   ? uniform(random, 1000, 2500)
                                   : 210 + uniform(random, 0, 120);
        losses.push_back({ Milliseconds { seen }, uniform(random, 0, fleet.vms - 1), engine });
    }
    std::sort(losses.begin(), losses.end(), [](const Loss& a, const Loss& b) { return a.at < b.at; });
    return losses;
}

std::string nameOf(int engine) { return "i-" + std::to_string(engine); }

// Share of the VMs that know of the failure 300 ms after the first loss was seen, if each VM decides alone: two of its
// engines have failed within 400 ms.
double knowingAlone(const Fleet& fleet, const std::vector<Loss>& losses)
{
    std::map<int, std::map<int, Milliseconds>> seenBy;
    std::set<int> knowing;
    for (const auto& loss : losses) {
        if (loss.at > losses.front().at + Milliseconds { 300 })
            break;
        auto& seen = seenBy[loss.vm];
        seen.try_emplace(loss.engine, loss.at);
        if (seen.size() >= 2)
            knowing.insert(loss.vm);
    }
    return static_cast<double>(knowing.size()) / fleet.vms;
}

struct Detection {
    // From the first loss seen until the collectors declare the failure; nothing if they do not.
    std::optional<Milliseconds> after;
    int reports { 0 };
};

// Reports take 1 to 30 ms, which includes the wait for the next batch.
Detection detectTogether(const Fleet& fleet, const std::vector<Loss>& losses, Random& random)
{
    const auto listed = static_cast<std::size_t>(fleet.engines / zoneCount);
    ZoneFailureDetector detector;
    Detection detection;
    std::vector<std::pair<Milliseconds, Loss>> arrivals;
    std::set<std::pair<int, std::int64_t>> batches;
    for (const auto& loss : losses) {
        if (!ZoneFailureDetector::isCounted(nameOf(loss.engine), listed))
            continue;
        batches.insert({ loss.vm, loss.at.count() / 25 });
        arrivals.push_back({ loss.at + Milliseconds { uniform(random, 1, 30) }, loss });
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [now, loss] : arrivals) {
        if (detector.noteFailure({ "s", "a", nameOf(loss.engine) }, loss.at, listed, now) && !detection.after)
            detection.after = now - losses.front().at;
    }
    detection.reports = static_cast<int>(batches.size());
    return detection;
}

void studyDetection(const Fleet& fleet, bool isSilent)
{
    Random random(7);
    constexpr int failures = 200;
    double alone = 0;
    int within = 0;
    double reports = 0;
    std::vector<std::int64_t> times;
    for (int i = 0; i < failures; ++i) {
        const auto losses = lossesOf(fleet, isSilent, random);
        alone += knowingAlone(fleet, losses) / failures;
        const auto detection = detectTogether(fleet, losses, random);
        reports += static_cast<double>(detection.reports) / failures;
        if (detection.after)
            times.push_back(detection.after->count());
        // The notification of all VMs of a zone takes 10 ms more.
        within += detection.after && detection.after->count() <= 290;
    }
    std::sort(times.begin(), times.end());
    std::cout << std::setw(26) << fleet.name << (isSilent ? "  silent" : "  reset ") << std::fixed
              << std::setprecision(1) << "  alone " << std::setw(5) << 100 * alone << "% of VMs   collectors "
              << std::setw(5) << 100.0 * within / failures << "% of failures, median "
              << (times.empty() ? -1 : times[times.size() / 2]) << " ms, longest "
              << (times.empty() ? -1 : times.back()) << " ms, reports " << reports << "\n";
}

// Single engines of a zone of 40 fail at random for an hour, and are seen by up to five VMs each. Returns how often a
// zone is declared as failed by the detector, and by a rule of two engines within 400 ms.
void studySingleFailures(double minutesBetweenFailures)
{
    Random random(3);
    ZoneFailureDetector detector;
    int declared = 0;
    int byTwo = 0;
    std::exponential_distribution<double> gap(40 / (minutesBetweenFailures * 60000));
    double time = 10000;
    double previous = 0;
    while (time < 3.6e6) {
        const Milliseconds at { static_cast<std::int64_t>(time) };
        const auto engine = nameOf(uniform(random, 0, 39));
        for (int vm = 0; vm < 5; ++vm)
            declared += detector.noteFailure({ "s", "a", engine }, at, 40, at + Milliseconds { 2 * vm }).has_value();
        byTwo += time - previous <= 400;
        previous = time;
        time += gap(random);
    }
    std::cout << "  each engine every " << std::setw(4) << minutesBetweenFailures << " minutes: declared " << declared
              << ", by a rule of two engines " << byTwo << "\n";
}

// ---- Silence

// What becomes silent at once, and for how long; without an end for good.
struct Silence {
    const char* name;
    double shareOfZone0;
    double shareOfOthers;
    std::optional<Milliseconds> end;
};

// What is concluded from reports of silence.
enum class Conclusion {
    AsFromRefusals, // Silence counts as a refused connection.
    Unreachable, // Only engines whose connections are not accepted count.
    Retracted, // Silence counts unless it is spread over most zones, and until half of the engines answer.
};

struct SilenceReport {
    Milliseconds arrivesAt;
    Milliseconds at;
    int engine;
    bool isAlive;
};

std::string zoneOf(const Fleet& fleet, int engine) { return std::string(1, "abc"[engine * zoneCount / fleet.engines]); }

// Each run at a silent engine reports it once, and reports the next event.
std::vector<SilenceReport> reportsOf(const Fleet& fleet, const Silence& silence, Random& random)
{
    std::vector<bool> isSilent;
    isSilent.reserve(static_cast<std::size_t>(fleet.engines));
    for (int i = 0; i < fleet.engines; ++i)
        isSilent.push_back(
            uniform(random, 0.0, 1.0) < (zoneOf(fleet, i) == "a" ? silence.shareOfZone0 : silence.shareOfOthers));
    std::vector<SilenceReport> reports;
    for (int run = 0; run < fleet.runs; ++run) {
        const int engine = uniform(random, 0, fleet.engines - 1);
        const Milliseconds at { uniform(random, 0.0, 1.0) < 0.15 ? uniform(random, 1000, 2500)
                                                                 : 210 + uniform(random, 0, 120) };
        if (!isSilent[static_cast<std::size_t>(engine)] || (silence.end && at >= *silence.end))
            continue;
        reports.push_back({ at + Milliseconds { uniform(random, 1, 30) }, at, engine, false });
        if (!silence.end)
            continue;
        const auto aliveAt = *silence.end + Milliseconds { uniform(random, 0, 40) };
        reports.push_back({ aliveAt + Milliseconds { uniform(random, 1, 30) }, aliveAt, engine, true });
    }
    std::sort(reports.begin(), reports.end(),
        [](const SilenceReport& a, const SilenceReport& b) { return a.arrivesAt < b.arrivesAt; });
    return reports;
}

void studySilence(const Fleet& fleet, const Silence& silence, Conclusion conclusion)
{
    Random random(5);
    constexpr int events = 200;
    const auto listed = static_cast<std::size_t>(fleet.engines / zoneCount);
    double declared = 0;
    double left = 0;
    std::vector<std::int64_t> times;
    for (int i = 0; i < events; ++i) {
        ZoneFailureDetector detector;
        bool isKnown = false;
        // How often each zone was declared and not retracted.
        std::map<std::string, int> open;
        const auto reports = reportsOf(fleet, silence, random);
        for (const auto& report : reports) {
            const auto now = report.arrivesAt + Milliseconds { 10000 };
            const auto at = report.at + Milliseconds { 10000 };
            EndpointFailure endpoint { "s", zoneOf(fleet, report.engine), nameOf(report.engine) };
            if (conclusion == Conclusion::Retracted)
                endpoint.evidence = FailureEvidence::Silent;
            if (report.isAlive && conclusion == Conclusion::Retracted)
                detector.noteAlive(endpoint, at);
            if (!report.isAlive && conclusion != Conclusion::Unreachable
                && detector.noteFailure(endpoint, at, listed, now, zoneCount)) {
                declared += 1.0 / events;
                ++open[endpoint.zone];
                if (!std::exchange(isKnown, true))
                    times.push_back((report.arrivesAt - reports.front().at).count());
            }
            for (const auto& retracted : detector.takeRetractions("s", zoneCount, now))
                open[retracted.failure.zone] = 0;
        }
        for (const auto& zone : open)
            left += (zone.second > 0 ? 1.0 : 0.0) / events;
    }
    std::sort(times.begin(), times.end());
    constexpr std::array<const char*, 3> names { "as from refusals", "only unreachable", "retracted" };
    std::cout << "  " << std::setw(34) << silence.name << "  " << std::setw(16)
              << names[static_cast<std::size_t>(conclusion)] << std::setprecision(2) << "  declared " << declared
              << ", zones left " << left << ", median " << (times.empty() ? -1 : times[times.size() / 2])
              << " ms, longest " << (times.empty() ? -1 : times.back()) << " ms\n";
}

// ---- Prediction

using Shares = std::vector<double>;

struct Sequence {
    const char* name;
    std::function<int(int previous, int number, Random&)> next;
};

struct Observed {
    std::vector<int> zones;
    ZoneFailureHistory history;
};

const std::vector<std::string> zoneNames { "a", "b", "c" };

Shares equalShares(const Observed&) { return Shares(3, 1.0 / 3); }

// The newest 32 failures, each zone by how often it failed (prior of one).
Shares constantHazard(const Observed& observed)
{
    Shares shares(3, 1);
    const auto count = std::min<std::size_t>(observed.zones.size(), ZoneFailureHistory::maxFailures);
    for (std::size_t i = observed.zones.size() - count; i < observed.zones.size(); ++i)
        shares[static_cast<std::size_t>(observed.zones[i])] += 1;
    for (auto& share : shares)
        share /= static_cast<double>(count) + 3;
    return shares;
}

// The same positions as ZoneFailureHistory, used whatever their evidence.
Shares orderWithoutTest(const Observed& observed)
{
    std::vector<double> counts(3, 1);
    std::vector<int> last(3, -1);
    const auto positions = [&last](int zone) {
        std::pair<int, int> result { 0, 0 };
        for (int other = 0; other < 3; ++other) {
            result.first += last[static_cast<std::size_t>(other)] < last[static_cast<std::size_t>(zone)];
            result.second += last[static_cast<std::size_t>(other)] == last[static_cast<std::size_t>(zone)];
        }
        return result;
    };
    const auto count = std::min<std::size_t>(observed.zones.size(), ZoneFailureHistory::maxFailures);
    double sum = 3;
    for (std::size_t i = observed.zones.size() - count; i < observed.zones.size(); ++i) {
        const auto [first, ties] = positions(observed.zones[i]);
        for (int k = 0; k < ties; ++k)
            counts[static_cast<std::size_t>(first) + static_cast<std::size_t>(k)] += 1.0 / ties;
        sum += 1;
        last[static_cast<std::size_t>(observed.zones[i])] = static_cast<int>(i);
    }
    Shares shares(3, 0);
    for (int zone = 0; zone < 3; ++zone) {
        const auto [first, ties] = positions(zone);
        for (int k = 0; k < ties; ++k)
            shares[static_cast<std::size_t>(zone)]
                += counts[static_cast<std::size_t>(first) + static_cast<std::size_t>(k)] / sum / ties;
    }
    return shares;
}

Shares orderWithTest(const Observed& observed) { return observed.history.shares(zoneNames); }

// A run is in a random zone, its copy in the other zone with the lowest share. Prints how often the next failure hits
// the copy (a third if no zone is preferred), and the mean difference between the highest and the lowest share.
void studyPrediction(const Sequence& sequence, int length)
{
    const std::vector<std::pair<const char*, Shares (*)(const Observed&)>> ways { { "equal", equalShares },
        { "constant hazard", constantHazard }, { "order, untested", orderWithoutTest },
        { "order, tested", orderWithTest } };
    std::cout << std::setw(34) << sequence.name << ", " << std::setw(3) << length << " failures:";
    for (const auto& [name, way] : ways) {
        Random random(19);
        double hit = 0;
        double difference = 0;
        int count = 0;
        for (int history = 0; history < 20000 / length; ++history) {
            Observed observed;
            int previous = -1;
            Milliseconds now { 10000 };
            for (int number = 0; number < length; ++number) {
                const int zone = sequence.next(previous, number, random);
                const auto shares = way(observed);
                difference += *std::max_element(shares.begin(), shares.end())
                    - *std::min_element(shares.begin(), shares.end());
                for (int own = 0; own < 3; ++own) {
                    const auto first = static_cast<std::size_t>((own + 1) % 3);
                    const auto second = static_cast<std::size_t>((own + 2) % 3);
                    const bool isTie = std::abs(shares[first] - shares[second]) < 1e-9;
                    const auto copy = shares[first] < shares[second] ? first : second;
                    hit += isTie ? (zone != own) / 2.0 : zone == static_cast<int>(copy);
                }
                count += 3;
                now += Milliseconds { uniform(random, 3000, 7000) };
                observed.zones.push_back(zone);
                observed.history.add(zoneNames[static_cast<std::size_t>(zone)], now);
                previous = zone;
            }
        }
        std::cout << "  " << name << " " << std::fixed << std::setprecision(1) << 100 * hit / count << "% ("
                  << std::setprecision(2) << 3 * difference / count << ")";
    }
    std::cout << "\n";
}

} // namespace

int main()
{
    std::cout << "Detection within 300 ms of the first loss seen, 200 failures each\n";
    for (const auto& fleet : { Fleet { "74 VMs, 120 engines", 74, 120, 250 },
             Fleet { "88 VMs, 120 engines", 88, 120, 210 }, Fleet { "2000 VMs, 20000 engines", 2000, 20000, 40000 } }) {
        studyDetection(fleet, false);
        studyDetection(fleet, true);
    }
    std::cout << "\nSingle engines of a zone of 40 that fail at random, one hour\n";
    for (const double minutes : { 10.0, 2.0, 1.0, 0.5 })
        studySingleFailures(minutes);
    std::cout << "\nSilence, 200 events each: failures of zones declared, zones that count as failed in the end\n";
    const std::vector<Silence> silences { { "one zone for good", 0.92, 0, std::nullopt },
        { "one zone for good, 5% elsewhere", 0.92, 0.05, std::nullopt },
        { "all engines, 1.2 s", 1, 1, Milliseconds { 1200 } },
        { "half of the engines, 1.2 s", 0.5, 0.5, Milliseconds { 1200 } },
        { "12 in 100 engines, 1.2 s", 0.12, 0.12, Milliseconds { 1200 } },
        { "one zone, 1.2 s", 1, 0, Milliseconds { 1200 } }, { "30 in 100 engines for good", 0.3, 0.3, std::nullopt } };
    for (const auto& fleet :
        { Fleet { "74 VMs, 120 engines", 74, 120, 250 }, Fleet { "6 VMs, 24 engines", 6, 24, 60 } }) {
        std::cout << fleet.name << "\n";
        for (const auto& silence : silences) {
            for (const auto conclusion : { Conclusion::AsFromRefusals, Conclusion::Unreachable, Conclusion::Retracted })
                studySilence(fleet, silence, conclusion);
        }
    }
    std::cout << "\nNext failures that hit the copy (difference between the shares)\n";
    const std::vector<Sequence> sequences {
        { "in turn",
            [](int, int number, Random&) {
                return std::vector<int> { 0, 2, 1 }[static_cast<std::size_t>(number % 3)];
            } },
        { "in turn, one in five at random",
            [](int previous, int, Random& random) {
                return previous < 0 || uniform(random, 0, 4) == 0 ? uniform(random, 0, 2) : (previous + 2) % 3;
            } },
        { "at random", [](int, int, Random& random) { return uniform(random, 0, 2); } },
        { "at random, one zone six times in ten",
            [](int, int, Random& random) {
                const int drawn = uniform(random, 0, 9);
                return drawn < 6 ? 0 : drawn < 8 ? 1 : 2;
            } },
    };
    for (const auto& sequence : sequences) {
        for (const int length : { 14, 100 })
            studyPrediction(sequence, length);
    }
}
