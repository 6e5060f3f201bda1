// A call to a plain service that carries a key: run once, its response kept for whoever sends the key again.
#pragma once

#include "daemon/GenerationContext.h"
#include "daemon/JournalSource.h"
#include "http/HttpExchange.h"
#include "lupinknot/Clock.h"
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lupinknot::internal {

struct ServiceSettings;

// Stands in for the callers towards the ServiceCall, which so runs to its end whether they stay or go. With other VMs,
// the call goes out when one of them has taken note of it.
//
// Thread-safe, under one lock of its own.
class KeyedServiceCall final : public HttpExchange,
                               public JournalSource,
                               public std::enable_shared_from_this<KeyedServiceCall> {
public:
    KeyedServiceCall(const GenerationContext&, const ServiceSettings&, HttpRequest, std::string key, bool repeatable);

    // The key under which all VMs know a call. A line feed cannot be part of a header's value, so no completion has it.
    static std::string keyOf(const HttpRequest&, const std::string& service);
    // The same key with another request is a mistake of the caller.
    bool isSameRequest(const HttpRequest&) const;

    void start();
    // Answers without a run: the work may have run on a VM that is lost.
    void startAsUnknown();
    // Gives the response to one more caller, now or when it is there.
    void join(const std::shared_ptr<HttpExchange>&);
    std::optional<Milliseconds> endedAt() const;
    // The call was refused as not run: its key is free for a new try.
    bool isVoid() const;
    void forget();

    // HttpExchange, towards the ServiceCall.
    const HttpRequest& request() const override { return m_request; }
    void respond(HttpResponse) override;
    void stream(HttpResponse, std::shared_ptr<HttpBodySource>) override { }
    void wake() override { }
    void abort() override { }
    void onPeerDisconnected(std::function<void()>) override { }

    // JournalSource.
    const std::string& journalKey() const override { return m_key; }
    bool fillJournal(JournalCursor&, wire::JournalItem&, std::vector<Token>&) const override;
    void journalAcknowledged(const JournalCursor&) override;
    void journalUnprotected() override;
    void journalRefused() override;

private:
    void run();
    // Returns true the first time.
    bool takeStart();

    const GenerationContext m_context;
    const ServiceSettings& m_service;
    const HttpRequest m_request;
    const std::string m_key;
    const bool m_repeatable;
    mutable std::mutex m_mutex;
    // All that follows is under the lock.
    bool m_isStarted { false };
    std::optional<HttpResponse> m_response;
    std::optional<Milliseconds> m_endedAt;
    std::vector<std::shared_ptr<HttpExchange>> m_callers;
};

} // namespace lupinknot::internal
