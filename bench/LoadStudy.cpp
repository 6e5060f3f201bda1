// Compares, on simulated engines of uneven speed, how the engine of a stream can be chosen, by answers in time.
//
//     LoadStudy [SEEDS] [PLOT.svg]
//
// Prints a table for each question of docs/design/load-model.md, and writes a plot of the share of answers in time
// against demand, with zone failures. Each cell is the mean over the seeds (4 by default), with the smallest and the
// largest one.
#include "model/EngineLoadModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <string>
#include <vector>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

struct Cell {
    double mean { 0 };
    double lowest { 1 };
    double highest { 0 };
    double slowShare { 0 };
    double firstEvent { 0 };
    double slowestTenth { 0 };
};

Cell simulate(EngineLoadScenario scenario, std::uint64_t seeds)
{
    Cell cell;
    std::vector<std::future<EngineLoadOutcome>> outcomes;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed)
        outcomes.push_back(std::async(std::launch::async, [scenario] { return simulateEngineLoad(scenario); }));
    for (auto& future : outcomes) {
        const auto outcome = future.get();
        const auto share = outcome.inTimeShare();
        const auto weight = 1.0 / static_cast<double>(seeds);
        cell.mean += share * weight;
        cell.lowest = std::min(cell.lowest, share);
        cell.highest = std::max(cell.highest, share);
        cell.slowShare += weight * static_cast<double>(outcome.sentToSlowEngines)
            / static_cast<double>(std::max<std::uint64_t>(outcome.streams, 1));
        cell.firstEvent += weight * static_cast<double>(outcome.meanFirstEvent.count());
        cell.slowestTenth += weight * static_cast<double>(outcome.slowestTenthFirstEvent.count());
    }
    return cell;
}

void print(const char* title, const Cell& cell)
{
    std::printf("%-44s %5.3f (%5.3f to %5.3f) %8.0f %8.0f %6.2f\n", title, cell.mean, cell.lowest, cell.highest,
        cell.firstEvent, cell.slowestTenth, cell.slowShare);
}

void printHead(const char* title)
{
    std::printf("\n%-44s %-22s %8s %8s %6s\n", title, "in time", "first", "tenth", "slow");
}

const std::string& nameOf(EngineSelection selection)
{
    static std::string name;
    name = std::string(nameIn(engineSelectionNames, selection));
    return name;
}

constexpr std::array<double, 6> demands { 24, 32, 40, 44, 48, 54 };

void compareSelections(std::uint64_t seeds, bool hasZoneFailures)
{
    for (const auto demand : demands) {
        const auto title = std::to_string(static_cast<int>(demand)) + " streams a second"
            + (hasZoneFailures ? ", zone failures" : "");
        printHead(title.c_str());
        for (const auto& row : engineSelectionNames) {
            for (const bool probesOtherZones : { false, true }) {
                const auto cell = simulate({ .selection = row.value,
                                               .probesOtherZones = probesOtherZones,
                                               .streamsPerSecond = demand,
                                               .hasZoneFailures = hasZoneFailures },
                    seeds);
                print((nameOf(row.value) + (probesOtherZones ? ", across zones" : ", own zone first")).c_str(), cell);
            }
        }
    }
}

void compareAges(std::uint64_t seeds)
{
    for (const double demand : { 40.0, 48.0 }) {
        printHead(("age of reports, " + std::to_string(static_cast<int>(demand)) + " a second").c_str());
        for (const auto selection : { EngineSelection::ServicePace, EngineSelection::EnginePace }) {
            for (const auto age : { 0, 200, 400 }) {
                const auto cell = simulate(
                    { .selection = selection, .reportAge = Milliseconds { age }, .streamsPerSecond = demand }, seeds);
                print((nameOf(selection) + ", " + std::to_string(age) + " ms").c_str(), cell);
            }
        }
    }
}

void compareWeights(std::uint64_t seeds)
{
    for (const bool hasZoneFailures : { false, true }) {
        for (const double demand : { 32.0, 48.0 }) {
            printHead(("weight of delays of others, " + std::to_string(static_cast<int>(demand)) + " a second"
                + (hasZoneFailures ? ", zone failures" : ""))
                          .c_str());
            for (const auto weight : { 0.0, 0.1, 0.2, 0.4, 0.85, 1.7 }) {
                char title[32];
                std::snprintf(title, sizeof(title), "%.2f", weight);
                print(title,
                    simulate(
                        { .slowdownShare = weight, .streamsPerSecond = demand, .hasZoneFailures = hasZoneFailures },
                        seeds));
            }
        }
    }
}

void compareEvenEngines(std::uint64_t seeds)
{
    for (const double demand : { 32.0, 40.0 }) {
        printHead(("engines of equal speed, " + std::to_string(static_cast<int>(demand)) + " a second").c_str());
        for (const auto selection : { EngineSelection::ServicePace, EngineSelection::EnginePace })
            print(nameOf(selection).c_str(),
                simulate({ .selection = selection, .speeds = { 1.0 }, .streamsPerSecond = demand }, seeds));
    }
}

void compareSwingsOfOneZone(std::uint64_t seeds)
{
    for (const double demand : { 54.0, 60.0, 66.0, 72.0 }) {
        printHead(("one zone swings by 55%, " + std::to_string(static_cast<int>(demand)) + " a second").c_str());
        for (const bool probesOtherZones : { false, true })
            print(probesOtherZones ? "across zones" : "own zone first",
                simulate({ .probesOtherZones = probesOtherZones,
                             .streamsPerSecond = demand,
                             .swingPeriod = Milliseconds { 17000 },
                             .swingsInOneZone = true },
                    seeds));
    }
}

struct Curve {
    const char* title;
    const char* colour;
    EngineSelection selection;
    bool probesOtherZones;
};

void plot(const char* path, std::uint64_t seeds)
{
    constexpr double left = 60;
    constexpr double width = 560;
    constexpr double top = 20;
    constexpr double height = 300;
    const auto x
        = [&](double demand) { return left + width * (demand - demands.front()) / (demands.back() - demands.front()); };
    const auto y = [&](double share) { return top + height * (1 - share); };
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"660\" height=\"380\" font-family=\"sans-serif\" "
           "font-size=\"12\">\n<rect width=\"660\" height=\"380\" fill=\"white\"/>\n";
    for (int tenths = 0; tenths <= 10; tenths += 2) {
        const auto share = tenths / 10.0;
        out << "<line x1=\"" << left << "\" y1=\"" << y(share) << "\" x2=\"" << left + width << "\" y2=\"" << y(share)
            << "\" stroke=\"#ddd\"/><text x=\"30\" y=\"" << y(share) + 4 << "\">" << share << "</text>\n";
    }
    for (const auto demand : demands)
        out << "<text x=\"" << x(demand) - 6 << "\" y=\"" << top + height + 18 << "\">" << demand << "</text>\n";
    out << "<text x=\"250\" y=\"" << top + height + 40
        << "\">streams a second, zone failures</text><text x=\"4\" y=\"14\">answers in time</text>\n";
    constexpr std::array<Curve, 4> curves { {
        { "pace of the service, own zone first", "#999999", EngineSelection::ServicePace, false },
        { "pace of the service, across zones", "#1f77b4", EngineSelection::ServicePace, true },
        { "two choices, across zones", "#2ca02c", EngineSelection::TwoChoices, true },
        { "pace of each engine, across zones", "#d62728", EngineSelection::EnginePace, true },
    } };
    double legend = top + height - 80;
    for (const auto& curve : curves) {
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << curve.colour << "\" points=\"";
        for (const auto demand : demands) {
            const auto cell = simulate({ .selection = curve.selection,
                                           .probesOtherZones = curve.probesOtherZones,
                                           .streamsPerSecond = demand,
                                           .hasZoneFailures = true },
                seeds);
            out << x(demand) << "," << y(cell.mean) << " ";
        }
        out << "\"/>\n<text x=\"" << left + 10 << "\" y=\"" << legend << "\" fill=\"" << curve.colour << "\">"
            << curve.title << "</text>\n";
        legend += 18;
    }
    out << "</svg>\n";
}

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t usualSeeds = 4;
    const auto seeds = argc > 1 ? std::max<std::uint64_t>(std::strtoull(argv[1], nullptr, 10), 1) : usualSeeds;
    std::printf("share of streams in time (lowest and highest seed), mean and slowest tenth of the first event in ms, "
                "share sent to slow engines; %llu seeds\n",
        static_cast<unsigned long long>(seeds));
    compareSelections(seeds, false);
    compareSelections(seeds, true);
    compareAges(seeds);
    compareWeights(seeds);
    compareEvenEngines(seeds);
    compareSwingsOfOneZone(seeds);
    if (argc > 2)
        plot(argv[2], seeds);
    return 0;
}
