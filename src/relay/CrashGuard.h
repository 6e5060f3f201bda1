// Keeps requests that end each endpoint that begins them from being sent on and on.
//
// Every loss of an endpoint under a request is first an open charge. After a moment (EndpointLosses::moment) it is
// judged: one that went together with others, or that had said it leaves, speaks against nobody; the rest goes into the
// Quarantine and to the other VMs (CrashReports). A request that would be held if its open charges stood waits for the
// judgement. When it is held, calls under way are told, and new ones are refused.
//
//     guard.watch(digest, call);                           // call->requestHeld() may follow.
//     guard.noteLoss(loss);
//     switch (guard.quarantineStatus(digest)) ...
//     guard.noteHarmless(digest);
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "quarantine/CrashWeight.h"
#include "quarantine/EndpointLosses.h"
#include "quarantine/Quarantine.h"
#include "quarantine/QuarantineStatus.h"
#include "quarantine/ServedRequests.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

class CrashReports;
class EndpointDirectory;
class RelayEndpoint;
struct RelaySettings;

// A run that its endpoint did not finish, and whose it was.
struct RequestLoss {
    std::string requestId;
    std::string digest;
    std::shared_ptr<RelayEndpoint> endpoint;
    // When the endpoint was sent the request.
    Milliseconds sentAt { 0 };
    UnfinishedRun run;
};

class HeldListener {
public:
    virtual ~HeldListener() = default;
    // The request is held from here on. Called outside of any call to the guard.
    virtual void requestHeld() = 0;
};

class CrashGuard {
public:
    CrashGuard(boost::asio::io_context&, const Clock&, const RelaySettings&, const EndpointDirectory&);
    ~CrashGuard();
    CrashGuard(const CrashGuard&) = delete;
    CrashGuard& operator=(const CrashGuard&) = delete;

    // Where other VMs hear of what is found here; it outlives the guard's use. Null where there are none.
    void setReports(CrashReports* reports) { m_reports = reports; }

    // Whether a new attempt of the request may be served.
    bool admit(const std::string& digest) { return m_quarantine.admit(digest, m_clock.now()); }
    QuarantineStatus quarantineStatus(const std::string& digest) const;
    // How long the request is still held, or until another trial of it may be over.
    Milliseconds quarantineTimeLeft(const std::string& digest) const;
    // True when something speaks against the request, judged or not.
    bool isSuspect(const std::string& digest) const;
    // Tells the listener when the request is held, until it is taken off again.
    void watch(const std::string& digest, const std::shared_ptr<HeldListener>&);
    void unwatch(const std::string& digest, const HeldListener&);
    void noteLoss(RequestLoss);
    // An endpoint has made events of the request for so long.
    void noteProducing(const std::string& digest, Milliseconds producedFor);
    // The request has been served, or has otherwise shown that endpoints survive it. For a while nothing that it loses
    // speaks against it.
    void noteHarmless(const std::string& digest);

    // What another VM has published, or taken back.
    void addRemoteRecord(const CrashRecord&);
    void removeRemoteRecord(const std::string& digest, const std::string& endpointId);

private:
    struct Charge {
        RequestLoss loss;
        EndpointLoss event;
        double weight;
    };

    void armJudgement();
    void judge();
    void judge(const Charge&);
    bool isCorrelatedLoss(const Charge&) const;
    double openWeight(const std::string& digest) const;
    std::int64_t timeOfDayAt(Milliseconds instant) const;
    void add(const CrashRecord&, bool isShared);
    void tellHeld(const std::string& digest);
    void armForgetting();

    boost::asio::io_context& m_ioContext;
    const Clock& m_clock;
    const RelaySettings& m_settings;
    const EndpointDirectory& m_directory;
    CrashReports* m_reports { nullptr };
    EndpointLosses m_losses;
    ServedRequests m_served;
    Quarantine m_quarantine;
    // Oldest first.
    std::deque<Charge> m_charges;
    // By digest.
    std::unordered_multimap<std::string, std::shared_ptr<HeldListener>> m_watching;
    boost::asio::steady_timer m_judgementTimer;
    boost::asio::steady_timer m_forgettingTimer;
    bool m_isJudgementArmed { false };
};

} // namespace lupinknot::internal
