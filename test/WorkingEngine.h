// A scripted engine that works on a run until it learns that the run has ended.
//
//     endpoint.onRequest([&engine](ScriptedConnection& asker, const std::string& request) {
//         engine.handle(asker, request);
//     });
//
// Runs on the io_context of the test, on the same thread as the code under test.
#pragma once

#include "RelayHarness.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lupinknot::internal {

class WorkingEngine {
public:
    // The events that it sends of a run, after which it is silent.
    void sendEvents(int first, int last)
    {
        m_first = first;
        m_last = last;
    }
    // A connection that hangs: its close does not reach the engine.
    void ignoreClose() { m_ignoresClose = true; }
    // The answers to requests to stop a run, in order; the last one is repeated. By default a run is stopped. A request
    // with status 0 remains unanswered.
    void answerStops(std::vector<std::pair<int, std::string>> answers) { m_stopAnswers = std::move(answers); }
    void leaveStopsUnanswered() { m_answersStops = false; }
    // Answers the last request to stop a run.
    void answerStop() { m_stopper->answer(200, "", R"({"handle":"h2"})"); }
    // Answers it as an engine that is busy with another request for the run.
    void refuseStop() { m_stopper->answer(409, "", "{}"); }
    void answerProbes() { m_answersProbes = true; }
    void leaveProbesUnanswered() { m_answersProbes = false; }
    // Rejects runs that continue from a copy, as an engine that does not have it, at once or after a time.
    void rejectCopies() { m_rejectsCopies = true; }
    void rejectCopies(Milliseconds after, boost::asio::io_context& ioContext)
    {
        m_rejectsCopies = true;
        m_rejectionDelay = after;
        m_timer = std::make_unique<boost::asio::steady_timer>(ioContext);
    }
    void acceptCopies() { m_rejectsCopies = false; }
    // Resets the connections of runs that continue from a copy.
    void resetCopies() { m_resetsCopies = true; }
    int rejections() const { return m_rejections; }
    // Called when a run begins.
    void onBegin(std::function<void()> callback) { m_onBegin = std::move(callback); }

    void handle(ScriptedConnection& asker, const std::string& request)
    {
        if (m_resetsCopies && request.find("Kv-From") != std::string::npos)
            asker.reset();
        else if (m_rejectsCopies && request.find("Kv-From") != std::string::npos)
            reject(asker);
        else if (request.find("/stream/") != std::string::npos)
            begin(asker, request);
        else if (request.find("/api/kv-move") != std::string::npos)
            stop(asker, request);
        else if (request.find("/api/kv-handle/") != std::string::npos)
            freed.push_back(request.substr(0, request.find(" HTTP")));
        else if (m_answersProbes)
            asker.answer(200, "", "{}");
    }

    bool isWorking() const { return m_run && (m_ignoresClose || !m_run->isClosedByPeer()); }
    ScriptedConnection& run() { return *m_run; }
    bool hasBegun() const { return m_runs > 0; }
    int runs() const { return m_runs; }
    // The request that began the last run.
    const std::string& lastRequest() const { return m_lastRequest; }

    // The ids of the requests that it was asked to stop, and the handles that were freed.
    std::vector<std::string> stopped;
    std::vector<std::string> freed;

private:
    void reject(ScriptedConnection& asker)
    {
        ++m_rejections;
        const auto answer = [run = asker.shared_from_this()](boost::system::error_code) {
            run->answer(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n", "");
        };
        if (!m_timer) {
            answer({});
            return;
        }
        m_timer->expires_after(m_rejectionDelay);
        m_timer->async_wait(answer);
    }

    void begin(ScriptedConnection& asker, const std::string& request)
    {
        ++m_runs;
        m_lastRequest = request;
        if (m_onBegin)
            m_onBegin();
        m_run = asker.shared_from_this();
        m_run->beginStream(signedHeadFor(request));
        for (int id = m_first; id <= m_last; ++id)
            m_run->sendEvent(id);
    }

    void stop(ScriptedConnection& asker, const std::string& request)
    {
        if (request.find("\"last\"") == std::string::npos) {
            asker.answer(200, "", R"({"handle":"h1"})");
            return;
        }
        const std::string field = "\"id\":\"";
        const auto begin = request.find(field) + field.size();
        stopped.push_back(request.substr(begin, request.find('"', begin) - begin));
        if (!m_answersStops) {
            m_stopper = asker.shared_from_this();
            return;
        }
        const auto number = std::min(stopped.size(), m_stopAnswers.size());
        const auto [status, body] = number ? m_stopAnswers[number - 1] : std::pair(200, R"({"handle":"h2"})");
        if (status == 0) {
            m_stopper = asker.shared_from_this();
            return;
        }
        if (status == 200 || body.find("handle") != std::string::npos)
            m_run.reset();
        asker.answer(status, "", body);
    }

    std::shared_ptr<ScriptedConnection> m_run;
    std::shared_ptr<ScriptedConnection> m_stopper;
    std::vector<std::pair<int, std::string>> m_stopAnswers;
    int m_first { 1 };
    int m_last { 0 };
    bool m_ignoresClose { false };
    bool m_answersProbes { false };
    bool m_answersStops { true };
    bool m_rejectsCopies { false };
    bool m_resetsCopies { false };
    Milliseconds m_rejectionDelay { 0 };
    std::unique_ptr<boost::asio::steady_timer> m_timer;
    std::function<void()> m_onBegin;
    std::string m_lastRequest;
    int m_rejections { 0 };
    int m_runs { 0 };
};

} // namespace lupinknot::internal
