#include "PeerRetryLoans.h"
#include "PeerFeeds.h"
#include "RunUntil.h"
#include "ScriptedEndpoint.h"
#include "lupinknot/MonotonicClock.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"
#include "relay/RetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// A VM with a part of the budget, at an address at which other VMs call it.
struct LendingVm {
    LendingVm(boost::asio::io_context& ioContext, const Clock& clock, const std::string& name, const std::string& zone)
        : registry(ioContext, { "127.0.0.1", 1 }, { name, zone, {} }, {}, [](const auto&) {})
        , feeds(std::make_unique<PeerFeeds>(ioContext, SocketAddress { "127.0.0.1", 0 }, registry))
    {
        CHECK_FALSE(feeds->start().has_value());
        // A part of two retries, one of which can be lent.
        settings.retrySlack = 2;
        settings.retryShare = 1;
        settings.retrySlackShare = 1;
        budget = std::make_unique<RetryBudget>(settings);
        entry = { name, zone, { "127.0.0.1", feeds->port() } };
        loans = std::make_unique<PeerRetryLoans>(
            ioContext, clock, entry, LoanTimes {}, metrics, [this, &clock](const RetryLoanRequest& request) {
                requests.push_back(request);
                return budget->lend(request.purpose, request.rank, clock.now());
            });
        feeds->handleExchanges(PeerRetryLoans::path, [this](const std::string& body) { return loans->answer(body); });
    }

    VmRegistry registry;
    std::unique_ptr<PeerFeeds> feeds;
    RelaySettings settings;
    RelayMetrics metrics;
    std::unique_ptr<RetryBudget> budget;
    VmEntry entry;
    std::unique_ptr<PeerRetryLoans> loans;
    std::vector<RetryLoanRequest> requests;
};

} // namespace

TEST_GROUP(PeerRetryLoans)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    MonotonicClock clock;
    std::vector<std::unique_ptr<LendingVm>> vms;
    std::vector<VmEntry> entries;

    void setup() override { ioContext = std::make_unique<boost::asio::io_context>(); }

    void teardown() override
    {
        entries.clear();
        vms.clear();
        ioContext.reset();
    }

    LendingVm& addVm(const std::string& zone = "a")
    {
        vms.push_back(std::make_unique<LendingVm>(*ioContext, clock, "vm" + std::to_string(vms.size()), zone));
        entries.push_back(vms.back()->entry);
        for (const auto& vm : vms)
            vm->loans->setOthers(entries);
        return *vms.back();
    }

    // The first VM asks the others for a retry.
    std::optional<RetryLoan> borrow(RetryPurpose purpose = RetryPurpose::Continuation)
    {
        std::optional<std::optional<RetryLoan>> got;
        const auto request = vms[0]->loans->ask({ "r1", "s", purpose, 3 }, [&got](const auto& loan) { got = loan; });
        CHECK_FALSE_TEXT(got.has_value(), "the callback must not run before ask() returns");
        CHECK(runUntil(*ioContext, [&got] { return got.has_value(); }));
        return *got;
    }

    std::size_t requestsTo(std::size_t vm) const { return vms[vm]->requests.size(); }
};

TEST(PeerRetryLoans, TheLenderCountsTheRetryAndTheBorrowerGetsIt)
{
    addVm();
    auto& lender = addVm();
    const auto askedAt = clock.now();
    const auto loan = borrow();
    CHECK(loan && loan->isValid(clock.now()));
    CHECK(loan->validUntil <= clock.now() + Milliseconds { 400 } && loan->validUntil >= askedAt + Milliseconds { 400 });
    LONGS_EQUAL(1, lender.budget->spent(clock.now()));
    STRCMP_EQUAL("s", lender.requests[0].service.c_str());
    LONGS_EQUAL(3, lender.requests[0].rank);
    CHECK(lender.requests[0].purpose == RetryPurpose::Continuation);
    DOUBLES_EQUAL(1, lender.metrics.retriesLent.Value(), 0);
    DOUBLES_EQUAL(1, vms[0]->metrics.retriesBorrowed.Value(), 0);
    CHECK_FALSE_TEXT(borrow().has_value(), "the lender must keep its reserve");
    DOUBLES_EQUAL(1, vms[0]->metrics.retryLoansRefused.Value(), 0);
}

TEST(PeerRetryLoans, AsksAnotherZoneWhenItsOwnLendsNothing)
{
    addVm("a");
    auto& spent = addVm("a");
    CHECK(spent.budget->take(RetryPurpose::Failover, clock.now(), clock.now()));
    auto& other = addVm("b");
    CHECK(borrow().has_value());
    LONGS_EQUAL(1, spent.requests.size());
    LONGS_EQUAL(1, other.requests.size());
}

TEST(PeerRetryLoans, BorrowsNothingWithoutAListOfVms)
{
    addVm();
    CHECK_FALSE(borrow().has_value());
}

// Guards against a lender that dies with a loan out: the loan stays valid, and the next search uses another VM.
TEST(PeerRetryLoans, ALenderThatDiesIsReplacedByAnother)
{
    addVm();
    addVm();
    const auto loan = borrow();
    CHECK(loan.has_value());
    vms[1]->feeds.reset();
    CHECK(loan->isValid(clock.now()));
    CHECK_FALSE(borrow().has_value());
    addVm();
    CHECK(borrow().has_value());
}

// Guards against a VM that lends again what its previous process has lent.
TEST(PeerRetryLoans, ALenderThatHasStartedAgainLendsNothing)
{
    addVm();
    auto& lender = addVm();
    CHECK(borrow().has_value());
    lender.settings.retrySlackStartsAt = clock.now() + Milliseconds { 60000 };
    lender.budget = std::make_unique<RetryBudget>(lender.settings);
    CHECK_FALSE(borrow().has_value());
    LONGS_EQUAL(2, lender.requests.size());
}

// Guards against a stream that waits for a frozen VM, and against the use of its late answer.
TEST(PeerRetryLoans, AFrozenLenderDelaysNobodyAndItsLateAnswerIsDropped)
{
    addVm();
    ScriptedEndpoint frozen(*ioContext);
    std::shared_ptr<ScriptedConnection> pending;
    frozen.onRequest([&pending](ScriptedConnection& asker, const std::string&) { pending = asker.shared_from_this(); });
    vms[0]->loans->setOthers({ { "frozen", "a", { "127.0.0.1", frozen.port() } } });
    const auto askedAt = clock.now();
    int callbacks = 0;
    bool isLent = false;
    const auto request = vms[0]->loans->ask({ "r1", "s" }, [&](const auto& loan) {
        ++callbacks;
        isLent = loan.has_value();
    });
    CHECK(runUntil(*ioContext, [&] { return callbacks > 0; }));
    CHECK_FALSE(isLent);
    CHECK_TEXT(clock.now() - askedAt >= Milliseconds { 50 }, "the VM must have had time to answer");
    CHECK(pending != nullptr);
    pending->answer(200, "", R"({"granted":true})");
    const auto later = clock.now() + Milliseconds { 30 };
    CHECK(runUntil(*ioContext, [&] { return clock.now() > later; }));
    LONGS_EQUAL_TEXT(1, callbacks, "a late answer must not be used");
    const auto again = clock.now();
    CHECK_FALSE(borrow().has_value());
    LONGS_EQUAL_TEXT(1, frozen.requests().size(), "a VM that does not answer is skipped for 2 s");
    CHECK(clock.now() - again < Milliseconds { 2000 });
}

// Guards against a borrower that is cut off and waits for VMs that it cannot reach.
TEST(PeerRetryLoans, ABorrowerThatReachesNobodyGetsNothing)
{
    addVm();
    for (int i = 0; i < 8; ++i)
        addVm(i < 6 ? "a" : "b");
    for (std::size_t i = 1; i < vms.size(); ++i)
        vms[i]->feeds.reset();
    CHECK_FALSE(borrow().has_value());
    CHECK_FALSE(borrow().has_value());
    DOUBLES_EQUAL(2, vms[0]->metrics.retryLoansRefused.Value(), 0);
}

// Guards against a callback to a stream that has ended while it waited.
TEST(PeerRetryLoans, ACancelledRequestIsNotAnswered)
{
    addVm();
    addVm();
    bool isCalled = false;
    auto request = vms[0]->loans->ask({ "r1", "s" }, [&isCalled](const auto&) { isCalled = true; });
    request.reset();
    const auto later = clock.now() + Milliseconds { 150 };
    CHECK(runUntil(*ioContext, [&] { return clock.now() > later; }));
    CHECK_FALSE(isCalled);
}

// Guards against a search that refers to VMs by their position in a list that has been replaced.
TEST(PeerRetryLoans, TheListOfVmsMayChangeDuringASearch)
{
    for (int i = 0; i < 4; ++i) {
        auto& vm = addVm();
        CHECK(vm.budget->take(RetryPurpose::Failover, clock.now(), clock.now()));
    }
    bool isCalled = false;
    const auto request = vms[0]->loans->ask({ "r1", "s" }, [&isCalled](const auto&) { isCalled = true; });
    vms[0]->loans->setOthers({});
    CHECK(runUntil(*ioContext, [&isCalled] { return isCalled; }));
    LONGS_EQUAL(3, requestsTo(1) + requestsTo(2) + requestsTo(3));
}

TEST(PeerRetryLoans, RefusesInvalidRequests)
{
    auto& vm = addVm();
    for (const auto& text : { std::string(), std::string("[]"), std::string("{}"), std::string(R"({"service":"s"})"),
             std::string(R"({"service":1,"purpose":"restart"})"), std::string(R"({"service":"","purpose":"restart"})"),
             std::string(R"({"service":"s","purpose":"restart","rank":10})"),
             std::string(R"({"service":"s","purpose":"restart","rank":-1})"),
             std::string(R"({"service":"s","purpose":"restart","rank":"0"})"),
             R"({"purpose":"restart","service":")" + std::string(301, 's') + "\"}",
             R"({"service":"s","purpose":"restart","more":")" + std::string(1024, 'x') + "\"}" })
        CHECK_TEXT(!vm.loans->answer(text).has_value(), text.c_str());
    LONGS_EQUAL(0, vm.requests.size());
}

// VMs of two releases communicate during a rolling restart.
TEST(PeerRetryLoans, AcceptsUnknownFieldsAndRefusesUnknownPurposes)
{
    auto& vm = addVm();
    const auto refused = vm.loans->answer(R"({"service":"s","purpose":"later-release"})");
    CHECK(refused && refused->find(R"("granted":false)") != std::string::npos);
    const auto granted = vm.loans->answer(R"({"service":"s","purpose":"continuation","more":[1]})");
    CHECK(granted && granted->find(R"("granted":true)") != std::string::npos);
    LONGS_EQUAL(5, vm.requests[0].rank);
}

// Guards against an answer that cannot be read being taken for a grant.
TEST(PeerRetryLoans, InvalidAnswersLendNothing)
{
    addVm();
    for (const auto* body : { "", "[]", R"({"granted":1})", R"({"granted":"true"})", "{\"granted\":true" }) {
        ScriptedEndpoint odd(*ioContext);
        odd.onRequest([body](ScriptedConnection& asker, const std::string&) { asker.answer(200, "", body); });
        vms[0]->loans->setOthers({ { "odd", "a", { "127.0.0.1", odd.port() } } });
        CHECK_TEXT(!borrow().has_value(), body);
    }
}
