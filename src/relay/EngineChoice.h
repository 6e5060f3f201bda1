// Finds the engine at which the next run of a stream begins.
//
// Best is one that holds a copy of the lost run's memory, then one that has kept the prompt of a caller who came back,
// then the one with the least load among a few that are asked.
//
//     const auto choice = EngineChoice::make(context, request, rollout);
//     if (const auto place = choice->copyTarget()) ...
//     choice->choose([this](const std::shared_ptr<RelayEndpoint>& engine) { ... });       // Null when there is none.
//
// Used on the relay's thread only. Owned by the stream's call; no callback follows once it is gone.
#pragma once

#include "endpoint/EndpointAvailability.h"
#include "relay/CallProtocol.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

class EngineLoadProbe;
class RelayEndpoint;
class RequestRollout;
class RunLocations;
struct PlacementRequest;
struct RelayContext;
struct RelayRequest;
struct RunLocation;
struct StreamRun;

struct RunPlace {
    std::shared_ptr<RelayEndpoint> engine;
    RunMemorySource copy;
};

class EngineChoice : public std::enable_shared_from_this<EngineChoice> {
public:
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;
    using Callback = std::function<void(const std::shared_ptr<RelayEndpoint>&)>;

    // The context, the request and the rollout part outlive it.
    static std::shared_ptr<EngineChoice> make(RelayContext&, const RelayRequest&, RequestRollout&);
    ~EngineChoice();

    // Where a caller has come back, asks other VMs where the request ran, and calls back once. False when there is
    // nothing to ask.
    bool findEarlierRun(std::function<void()> callback);
    // Tells other VMs where the run is.
    void noteLocation(const StreamRun&) const;
    void forgetLocation() const;

    // The engine that holds a copy, if it looks sound.
    std::optional<RunPlace> copyTarget() const;
    // The copy is named after the attempt whose memory it holds.
    void setCopy(std::shared_ptr<RelayEndpoint> holder, std::string name);
    void forgetCopy() { m_copyHolder.reset(); }
    // The engine that ran the request for another VM and has kept its prompt, once; null if it does not look sound.
    std::shared_ptr<RelayEndpoint> takeEarlierEngine();
    // Calls back once, perhaps before it returns.
    void choose(const Callback&);
    void cancel();

    // Engines that failed this request; they are chosen only when no other is left.
    const Engines& failed() const { return m_failed; }
    void noteFailed(std::shared_ptr<RelayEndpoint> engine) { m_failed.push_back(std::move(engine)); }

    // Where a copy of a run at the engine may grow; null for nowhere.
    std::shared_ptr<RelayEndpoint> chooseCopyHolder(const RelayEndpoint& engine) const;
    // How long the stream can wait for its place at an engine under a limit.
    Milliseconds permitTimeoutFor(bool isFromCopy) const;
    // When the first engine takes a request again where all are limited or rest; nothing otherwise.
    std::optional<EndpointAvailability> nextAvailability() const;

private:
    EngineChoice(RelayContext&, const RelayRequest&, RequestRollout&);
    // Null where VMs tell each other nothing.
    RunLocations* runLocations() const;
    void earlierRunFound(const std::optional<RunLocation>&);
    // True when nothing speaks against sending the stream to the engine.
    bool isSound(const RelayEndpoint&) const;
    // Where a run that reads the prompt should begin.
    PlacementRequest wantedPlacement() const;
    // Asks the engines that come into question for their load, if there is a choice.
    bool survey(const Callback&);
    void surveyed(const Engines& answered, const Callback&);
    void logChoice(const RelayEndpoint&, std::size_t answered, Milliseconds forecast) const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    RequestRollout& m_rollout;
    Engines m_failed;
    std::shared_ptr<RelayEndpoint> m_earlierEngine;
    std::shared_ptr<RelayEndpoint> m_copyHolder;
    std::string m_copyName;
    // Set while engines are asked where the next run should begin.
    std::shared_ptr<EngineLoadProbe> m_survey;
};

} // namespace lupinknot::internal
