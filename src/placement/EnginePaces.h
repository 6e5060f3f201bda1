// How long each engine takes for its work, relative to the other engines of its service.
//
//     paces.noteRun("chat", address, interval, now);           // The shortest tenth of a run's gaps, in milliseconds.
//     const auto time = prefillTime * paces.paceOf("chat", address, now);      // 1: as usual; 2: twice as long.
//
// Load pattern: some engines are permanently faster or slower than others, any engine is at times slower for a few
// hundred milliseconds, and a VM sends each engine a stream only every few minutes. So the VMs of a zone share their
// samples: a VM reports those that differ from what it knows, a collector merges them and publishes what has changed.
//
// An engine is identified by its service and address, because it gets a new id when it starts again. Its pace is the
// median of its newest samples, decayed towards the service's pace with the age of the newest one; an engine without
// samples has the service's pace. The state is bounded; the engine with the oldest samples is dropped first.
//
// No I/O. Used on the relay's thread only. Lives for the process.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "relay/Estimate.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

// One sample of an engine, or what several samples show together.
struct EnginePaceSample {
    std::string service;
    // IP:PORT
    std::string address;
    // Milliseconds between two events of an undisturbed run.
    double interval { 0 };
    // When the newest run that it is based on ended.
    Milliseconds at { 0 };
};

class EnginePaces {
public:
    // Records a run of this VM. Ignores an interval that is not finite or not above zero.
    void noteRun(const std::string& service, const SocketAddress&, double interval, Milliseconds now);
    // Time for work at the engine as a multiple of the service's; 1 when it is unknown.
    double paceOf(const std::string& service, const SocketAddress&, Milliseconds now) const;
    // True if there are samples of the engine, whatever their age.
    bool knows(const std::string& service, const SocketAddress&) const;
    // Records how long work takes at some endpoint according to itself, as a multiple of what it calls usual.
    void noteStatedPace(const std::string& service, double pace, Milliseconds now);
    // Converts an endpoint's own statement to a multiple of the service's pace: most endpoints may state another value
    // than 1.
    double relativeToService(const std::string& service, double statedPace) const;

    // The service's interval: of this VM's runs, or as published if that is known. Nothing with too few samples.
    std::optional<double> usualInterval(const std::string& service, Milliseconds now) const;
    // The interval of this VM's own runs.
    std::optional<double> ownUsualInterval(const std::string& service) const;

    // The samples of this VM since the last call that differed from what was known; not more than maxUnreported.
    std::vector<EnginePaceSample> takeUnreported();

    // For collectors: adds the samples and the usual interval that a VM reports.
    void addReported(const EnginePaceSample&, Milliseconds now);
    void addReportedUsual(const std::string& service, double interval, Milliseconds now);
    // For collectors: the engines whose pace differs by more than a tenth from what was published, after its decay; up
    // to the given number, the others with the next calls.
    std::vector<EnginePaceSample> takeChanges(std::size_t maxCount, Milliseconds now);

    // Applies what a collector publishes. An engine's older state is replaced, a newer one stays.
    void applyPublished(const EnginePaceSample&, Milliseconds now);
    void applyPublishedUsual(const std::string& service, double interval, Milliseconds now);

    std::size_t size() const { return m_engines.size(); }
    std::size_t serviceCount() const { return m_services.size(); }

    // With more engines than this, those with the oldest samples are dropped: room for 20,000 endpoints, of which some
    // have moved to another address, in some 6 MB.
    static constexpr std::size_t maxEngines = 24'000;
    // Services that other VMs name are not added beyond this number.
    static constexpr std::size_t maxServices = 256;
    static constexpr std::size_t maxUnreported = 256;
    // Changes smaller than this share are neither reported nor published.
    static constexpr double minChange = 0.1;
    // The time constant of the decay.
    static constexpr Milliseconds decayTime { 30'000 };

private:
    struct Service {
        // Of this VM's runs, and of the VMs that report to this one.
        Estimate ownIntervals { 0 };
        Estimate reportedIntervals { 0 };
        Estimate statedPaces { 1 };
        double publishedInterval { 0 };
        Milliseconds publishedAt { 0 };
    };

    struct Engine {
        // A node of m_services, which are never removed.
        const std::pair<const std::string, Service>* service { nullptr };
        std::string address;
        static constexpr std::size_t maxSamples = 5;
        std::array<float, maxSamples> samples {};
        std::uint8_t count { 0 };
        std::uint8_t next { 0 };
        Milliseconds newestAt { 0 };
        // What was published last; 0 when nothing was.
        float publishedInterval { 0 };
        Milliseconds publishedAt { 0 };
        bool isChanged { false };

        void add(double interval, Milliseconds at);
        double median() const;
    };

    using ServiceEntry = std::pair<const std::string, Service>;

    static std::uint64_t keyOf(std::string_view service, std::string_view host, std::int64_t port);
    // Null when the service is unknown and there is no room.
    ServiceEntry* serviceFor(const std::string& name);
    Engine* engineFor(const EnginePaceSample&);
    void dropOldest();
    static double decayed(double interval, double usual, Milliseconds age);
    static double usualIntervalOf(const Service&, Milliseconds now);

    std::map<std::string, Service> m_services;
    std::unordered_map<std::uint64_t, Engine> m_engines;
    std::vector<EnginePaceSample> m_unreported;
    // Keys of engines with isChanged.
    std::vector<std::uint64_t> m_changed;
};

} // namespace lupinknot::internal
