// A call to a plain service with an idempotency key: runs once, and its response is kept for requests with the same
// key.
#pragma once

#include "daemon/GenerationContext.h"
#include "daemon/JournalSource.h"
#include "daemon/SharedAnswerMemory.h"
#include "http/HttpExchange.h"
#include "lupinknot/Clock.h"
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lupinknot::internal {

struct ServiceSettings;

// Acts as the caller of the ServiceCall, so that the call runs to its end even if all callers disconnect. In a cluster,
// the call is sent once another VM has stored its record. When no other VM can be reached, only a repeatable call is
// sent.
//
// Thread-safe, with one lock of its own.
class KeyedServiceCall final : public HttpExchange,
                               public JournalSource,
                               public std::enable_shared_from_this<KeyedServiceCall> {
public:
    KeyedServiceCall(const GenerationContext&, const ServiceSettings&, HttpRequest, std::string key, bool repeatable);

    // The key of a call on all VMs. It contains a line feed, which a header value cannot, so it never equals the key of
    // a completion.
    static std::string keyOf(const HttpRequest&, const std::string& service);
    // Returns false when the key is used with another request, which is an error of the caller.
    bool isSameRequest(const HttpRequest&) const;

    void start();
    // Responds without a run, because the work may have run on a VM that was lost.
    void completeAsUnknown();
    // Sends the response to one more caller, now or as soon as it exists.
    void join(const std::shared_ptr<HttpExchange>&);
    std::optional<Milliseconds> endedAt() const;
    // True when the call was refused as not run: its key may be used again.
    bool isKeyReusable() const;
    void detachJournal();

    // HttpExchange. The ServiceCall calls these functions.
    const HttpRequest& request() const override { return m_request; }
    void respond(HttpResponse) override;
    void stream(HttpResponse, std::shared_ptr<HttpBodySource>) override { }
    void upgrade(UpgradeCallback) override { }
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
    // Frees the kept response: later callers get an error, and the work does not run again.
    void discardResponse();
    // Returns true on the first call only.
    bool claimStart();

    const GenerationContext m_context;
    const ServiceSettings& m_service;
    const HttpRequest m_request;
    const std::string m_key;
    const bool m_repeatable;
    mutable std::mutex m_mutex;
    // The members below are guarded by the lock.
    bool m_isStarted { false };
    std::optional<HttpResponse> m_response;
    // Counts the kept response.
    std::unique_ptr<SharedAnswerMemory::Holding> m_held;
    std::optional<Milliseconds> m_endedAt;
    std::vector<std::shared_ptr<HttpExchange>> m_callers;
};

} // namespace lupinknot::internal
