// Compares the silence detectors on simulated gaps between tokens that have the stand-in engine's noise.
//
// For each detector it prints how often a healthy endpoint is suspected (false alarms) and how long a caller waits
// until a dead endpoint is suspected. The seed is fixed, so each run prints the same table;
// docs/DETECTORS.md contains it.

#include "lupinknot/SilenceDetector.h"
#include "standin/EngineStandInSettings.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>
#include <vector>

namespace {

using namespace lupinknot;
using lupinknot::internal::EngineStandInSettings;

constexpr std::size_t generationCount = 4000;
constexpr std::size_t tokensPerGeneration = 200;
constexpr std::uint64_t seed = 42;

struct Noise {
    const char* name;
    EngineStandInSettings engine;
};

struct Candidate {
    const char* name;
    DetectorKind kind;
    SilenceBounds bounds;
};

struct StudyResult {
    double falseAlarmShare { 0 };
    // Milliseconds from the last token of a dead endpoint until it is suspected.
    double waitMedian { 0 };
    double waitHigh { 0 };
};

Milliseconds drawGap(const EngineStandInSettings& engine, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> noise(1 - engine.jitter, 1 + engine.jitter);
    std::uniform_real_distribution<double> chance(0, 1);
    auto gap = static_cast<double>(engine.step.count()) * noise(random);
    if (chance(random) < engine.stallChance)
        gap += chance(random) * static_cast<double>(engine.longestStall.count());
    return Milliseconds { std::llround(gap) };
}

// Each generation is simulated to its end to count false alarms. The wait is the silence timeout at one random token,
// as if the endpoint died there.
StudyResult study(const Noise& noise, const Candidate& candidate)
{
    std::mt19937_64 random(seed);
    const auto detector = makeSilenceDetector(candidate.kind, candidate.bounds);
    std::size_t alarmed = 0;
    std::vector<double> waits;
    for (std::size_t generation = 0; generation < generationCount; ++generation) {
        bool isAlarmed = false;
        const auto lastToken = random() % tokensPerGeneration;
        for (std::size_t token = 0; token < tokensPerGeneration; ++token) {
            if (token == lastToken)
                waits.push_back(static_cast<double>(detector->silenceTimeout().count()));
            const auto gap = drawGap(noise.engine, random);
            isAlarmed = isAlarmed || gap >= detector->silenceTimeout();
            detector->observe(gap);
        }
        alarmed += isAlarmed ? 1 : 0;
    }
    std::sort(waits.begin(), waits.end());
    return { static_cast<double>(alarmed) / static_cast<double>(generationCount), waits[waits.size() / 2],
        waits[waits.size() * 95 / 100] };
}

std::vector<Noise> noises()
{
    EngineStandInSettings defaults;
    EngineStandInSettings fast = defaults;
    fast.step = Milliseconds { 5 };
    EngineStandInSettings slow = defaults;
    slow.step = Milliseconds { 60 };
    EngineStandInSettings rough = defaults;
    rough.stallChance = 0.02;
    rough.longestStall = Milliseconds { 500 };
    return { { "default (20 ms, stalls to 250 ms in 0.4%)", defaults }, { "fast engine (5 ms)", fast },
        { "slow engine (60 ms)", slow }, { "rough (stalls to 500 ms in 2%)", rough } };
}

std::vector<Candidate> candidates()
{
    const Milliseconds one { 1 };
    const Milliseconds ceiling { 1500 };
    return {
        { "fixed 150 ms", DetectorKind::Fixed, { Milliseconds { 150 }, ceiling } },
        { "fixed 350 ms", DetectorKind::Fixed, { Milliseconds { 350 }, ceiling } },
        { "fixed 600 ms", DetectorKind::Fixed, { Milliseconds { 600 }, ceiling } },
        { "quantile, no floor", DetectorKind::Quantile, { one, ceiling } },
        { "quantile, floor 350 ms", DetectorKind::Quantile, { Milliseconds { 350 }, ceiling } },
        { "maximum, floor 100 ms", DetectorKind::Maximum, { Milliseconds { 100 }, ceiling } },
        { "maximum, floor 350 ms", DetectorKind::Maximum, { Milliseconds { 350 }, ceiling } },
        { "phi-accrual, no floor", DetectorKind::PhiAccrual, { one, ceiling } },
        { "phi-accrual, floor 350 ms", DetectorKind::PhiAccrual, { Milliseconds { 350 }, ceiling } },
    };
}

} // namespace

int main()
{
    for (const auto& noise : noises()) {
        std::cout << "\n### " << noise.name
                  << "\n\n| detector | generations with a false alarm | wait for a dead endpoint, p50 | p95 "
                     "|\n|---|---|---|---|\n";
        for (const auto& candidate : candidates()) {
            const auto found = study(noise, candidate);
            std::cout << "| " << candidate.name << " | " << found.falseAlarmShare * 100 << " % | " << found.waitMedian
                      << " ms | " << found.waitHigh << " ms |\n";
        }
    }
    return 0;
}
