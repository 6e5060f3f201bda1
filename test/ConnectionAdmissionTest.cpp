#include "http/ConnectionAdmission.h"
#include "lupinknot/Clock.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t maxDescriptors = 4100;
constexpr std::size_t otherDescriptors = 60;

const ConnectionBounds usualBounds { 4096, maxDescriptors, otherDescriptors, {} };

// How a server treats connections when they are short. The last two differ from CloseLongestIdle in what gives way
// when no connection is new or receives its header.
enum class Way {
    RefuseNew,
    CloseLongestIdle,
    ShortenIdleTime,
    CloseBodiesFirst,
    CloseBodiesLast,
};

// What the crowd does with its connections.
enum class Crowd {
    SendsNothing,
    HasBeenServed,
    LeavesBodiesIncomplete,
    // Every second one has been served, the others leave a body incomplete.
    Mixed,
};

struct Outcome {
    // Requests of ordinary callers that found no connection.
    int refused { 0 };
    // Bodies of ordinary callers whose connection was closed while they arrived.
    int brokenBodies { 0 };
    // Connections of ordinary callers that were closed before the time that the server had promised.
    int brokenPromises { 0 };
    std::size_t maxOpen { 0 };
};

// Ordinary callers beside a crowd that opens connections and holds them, in steps of one millisecond.
class ServerModel {
public:
    explicit ServerModel(Way way)
        : m_way(way)
    {
    }

    // Each millisecond one more connection of the crowd is opened.
    Outcome run(Crowd crowd)
    {
        std::array<int, keptCallers> kept {};
        for (auto& connection : kept)
            connection = request(0, std::nullopt);
        for (m_now = 1; m_now < duration; ++m_now) {
            expire();
            const auto hostile = open(false);
            const auto isServed = crowd == Crowd::HasBeenServed || (crowd == Crowd::Mixed && m_now % 2 == 0);
            if (hostile && isServed)
                serve(*hostile);
            else if (hostile && crowd != Crowd::SendsNothing)
                change(*hostile, ConnectionState::ReceivingBody);
            upload();
            if (m_now % newCallerInterval == 0)
                request(m_now, std::nullopt);
            for (int i = 0; i < keptCallers; ++i) {
                if (m_now % keptCallerInterval == i)
                    kept[i] = request(m_now, kept[i]);
            }
            m_outcome.maxOpen = std::max(m_outcome.maxOpen, m_connections.size());
        }
        return m_outcome;
    }

private:
    struct Connection {
        bool isOrdinary { false };
        bool isServed { false };
        int idleSince { 0 };
        ConnectionState state { ConnectionState::New };
    };

    // A body of an ordinary caller that arrives.
    struct Upload {
        int number { 0 };
        int startedAt { 0 };
    };

    static constexpr int duration = 40000;
    static constexpr int idleTimeout = 15000;
    static constexpr int bodyTimeout = 20000;
    static constexpr int promisedTime = idleTimeout * 4 / 5;
    static constexpr int shortIdleTime = 1000;
    static constexpr int newCallerInterval = 100;
    static constexpr int keptCallers = 50;
    static constexpr int keptCallerInterval = 2000;
    static constexpr int uploadInterval = 500;
    static constexpr int uploadTime = 4000;
    static constexpr int progressInterval = 62;

    ConnectionAdmission::Id idOf(int number) const { return &m_places.at(static_cast<std::size_t>(number)); }
    int numberOf(ConnectionAdmission::Id id) const
    {
        return static_cast<int>(static_cast<const char*>(id) - m_places.data());
    }

    // Sends a request on the connection if it is still open, or on a new one. Returns its number, -1 if refused.
    int request(int now, std::optional<int> number)
    {
        m_now = now;
        if (!number || m_connections.count(*number) == 0)
            number = open(true);
        if (!number) {
            ++m_outcome.refused;
            return -1;
        }
        serve(*number);
        return *number;
    }

    void serve(int number)
    {
        m_connections[number].idleSince = m_now;
        m_connections[number].isServed = true;
        change(number, ConnectionState::Busy);
        change(number, ConnectionState::Resting);
    }

    void change(int number, ConnectionState state)
    {
        m_connections[number].state = state;
        const auto displaced = m_admission.changeState(idOf(number), state, usualBounds).displaced;
        if (displaced)
            close(numberOf(*displaced));
    }

    // Ordinary callers send bodies that make progress until they are complete.
    void upload()
    {
        if (m_now % uploadInterval == 0) {
            if (const auto number = open(true)) {
                m_uploads.push_back({ *number, m_now });
                change(*number, ConnectionState::ReceivingBody);
            } else {
                ++m_outcome.refused;
            }
        }
        for (const auto& [number, startedAt] : m_uploads) {
            if (m_connections.count(number) == 0)
                ++m_outcome.brokenBodies;
            else if (m_now - startedAt == uploadTime)
                completeUpload(number);
            else if ((m_now - startedAt) % progressInterval == 0)
                progress(number);
        }
        std::erase_if(m_uploads, [this](const Upload& current) {
            return m_connections.count(current.number) == 0 || m_now - current.startedAt == uploadTime;
        });
    }

    void progress(int number)
    {
        m_connections[number].idleSince = m_now;
        m_admission.progressed(idOf(number));
    }

    // The caller closes its connection after the response.
    void completeUpload(int number)
    {
        change(number, ConnectionState::Busy);
        close(number);
    }

    // The connection that gives way where the model decides it.
    std::optional<int> findVictim() const
    {
        const auto rank = [this](ConnectionState state) {
            if (state == ConnectionState::New)
                return 0;
            return (state == ConnectionState::ReceivingBody) == (m_way == Way::CloseBodiesFirst) ? 1 : 2;
        };
        const auto victim = std::min_element(
            m_connections.begin(), m_connections.end(), [&rank](const auto& left, const auto& right) {
                return std::pair(rank(left.second.state), left.second.idleSince)
                    < std::pair(rank(right.second.state), right.second.idleSince);
            });
        return victim == m_connections.end() ? std::nullopt : std::optional(victim->first);
    }

    std::optional<int> open(bool isOrdinary)
    {
        const auto number = m_next++;
        if (m_way == Way::CloseLongestIdle) {
            const auto decision = m_admission.admit(idOf(number), usualBounds);
            if (decision.displaced)
                close(numberOf(*decision.displaced));
            if (!decision.isAdmitted)
                return std::nullopt;
        } else if (m_connections.size() >= m_admission.room(usualBounds)) {
            const auto isOwnOrder = m_way == Way::CloseBodiesFirst || m_way == Way::CloseBodiesLast;
            const auto victim = isOwnOrder ? findVictim() : std::nullopt;
            if (!victim)
                return std::nullopt;
            close(*victim);
        }
        m_connections[number] = { isOrdinary, false, m_now };
        return number;
    }

    void expire()
    {
        const auto isShort
            = m_way == Way::ShortenIdleTime && m_connections.size() * 4 >= m_admission.room(usualBounds) * 3;
        for (auto next = m_connections.begin(); next != m_connections.end();) {
            const auto current = next++;
            const auto time = isShort ? shortIdleTime : idleTimeout;
            const auto isBody = current->second.state == ConnectionState::ReceivingBody;
            if (m_now - current->second.idleSince >= (isBody ? bodyTimeout : time))
                close(current->first);
        }
    }

    void close(int number)
    {
        const auto& connection = m_connections[number];
        if (connection.isOrdinary && connection.isServed && m_now - connection.idleSince < promisedTime)
            ++m_outcome.brokenPromises;
        m_connections.erase(number);
        m_admission.remove(idOf(number));
    }

    const Way m_way;
    // One for each connection, whose address is its id.
    const std::vector<char> m_places = std::vector<char>(100000);
    ConnectionAdmission m_admission;
    std::map<int, Connection> m_connections;
    std::vector<Upload> m_uploads;
    int m_next { 0 };
    int m_now { 0 };
    Outcome m_outcome;
};

} // namespace

TEST_GROUP(ConnectionAdmission)
{
    ConnectionAdmission admission;
    std::deque<int> ids;

    ConnectionAdmission::Id admit()
    {
        const ConnectionAdmission::Id id = &ids.emplace_back();
        CHECK(admission.admit(id, usualBounds).isAdmitted);
        return id;
    }

    ConnectionAdmission::Id admit(ConnectionState state)
    {
        const auto id = admit();
        admission.changeState(id, state, usualBounds);
        return id;
    }
};

TEST(ConnectionAdmission, LeavesPartOfTheDescriptorsFree)
{
    CHECK(admission.room(usualBounds) + otherDescriptors + maxDescriptors / 4 <= maxDescriptors);
    LONGS_EQUAL(10, admission.room({ 10, maxDescriptors, otherDescriptors, {} }));
    LONGS_EQUAL(1025, admission.room({ 4096, maxDescriptors, otherDescriptors, { 0.125, 0.25 } }));
}

// Guards against a process whose other connections have taken more than its limit.
TEST(ConnectionAdmission, HasNoRoomWhenOtherDescriptorsTakeAll)
{
    LONGS_EQUAL(0, admission.room({ 4096, maxDescriptors, maxDescriptors + 1, {} }));
}

TEST(ConnectionAdmission, CountsADescriptorToAnEndpointForEachBusyConnection)
{
    for (int i = 0; i < 100; ++i)
        admit(ConnectionState::Busy);
    LONGS_EQUAL(maxDescriptors - maxDescriptors / 4 - 100, admission.room(usualBounds));
}

TEST(ConnectionAdmission, ClosesNewConnectionsFirstAndTheLongestRestingOnesLast)
{
    const auto firstResting = admit(ConnectionState::Resting);
    const auto secondResting = admit(ConnectionState::Resting);
    const auto receiving = admit(ConnectionState::ReceivingHeader);
    const auto fresh = admit();
    for (const auto expected : { fresh, receiving, firstResting, secondResting })
        CHECK(expected == admission.displace());
    CHECK_FALSE(admission.displace().has_value());
}

TEST(ConnectionAdmission, TreatsAConnectionThatRestsAgainAsTheLatest)
{
    const auto first = admit(ConnectionState::Resting);
    const auto second = admit(ConnectionState::Resting);
    admission.changeState(first, ConnectionState::Busy, usualBounds);
    admission.changeState(first, ConnectionState::Resting, usualBounds);
    CHECK(second == admission.displace());
}

TEST(ConnectionAdmission, NeverClosesABusyConnection)
{
    const ConnectionBounds bounds { 2, maxDescriptors, otherDescriptors, {} };
    admit(ConnectionState::Busy);
    admit(ConnectionState::Busy);
    int id = 0;
    const auto decision = admission.admit(&id, bounds);
    CHECK_FALSE(decision.isAdmitted);
    CHECK_FALSE(decision.displaced.has_value());
    LONGS_EQUAL(2, admission.count());
}

TEST(ConnectionAdmission, ClosesAnIdleConnectionWhenAnotherBecomesBusyAndNeedsASecondDescriptor)
{
    const ConnectionBounds bounds { 4096, 8, 1, {} };
    const auto oldest = admit();
    for (int i = 0; i < 3; ++i)
        admit();
    const std::array busy { admit(ConnectionState::ReceivingHeader), admit(ConnectionState::ReceivingHeader) };
    CHECK_FALSE(admission.changeState(busy[0], ConnectionState::Busy, { 4096, 9, 1, {} }).displaced.has_value());
    CHECK(oldest == admission.changeState(busy[1], ConnectionState::Busy, bounds).displaced);
}

// The states that give way last: the larger group, because a crowd is in it.
TEST(ConnectionAdmission, ClosesAnIncompleteBodyWhereTheseAreMoreThanRestingConnections)
{
    const auto resting = admit(ConnectionState::Resting);
    const auto body = admit(ConnectionState::ReceivingBody);
    admit(ConnectionState::ReceivingBody);
    CHECK(body == admission.displace());
    admit(ConnectionState::Resting);
    CHECK(resting == admission.displace());
}

// Guards against an ordinary large body that is refused for a crowd which came after it.
TEST(ConnectionAdmission, TreatsABodyThatProgressesAsTheLatest)
{
    const auto first = admit(ConnectionState::ReceivingBody);
    const auto second = admit(ConnectionState::ReceivingBody);
    admission.progressed(first);
    CHECK(second == admission.displace());
}

TEST(ConnectionAdmission, CountsNoSecondDescriptorForAnIncompleteBody)
{
    const auto room = admission.room(usualBounds);
    for (int i = 0; i < 100; ++i)
        admit(ConnectionState::ReceivingBody);
    LONGS_EQUAL(room, admission.room(usualBounds));
}

// A displaced connection may have received a request in the meantime and is kept then.
TEST(ConnectionAdmission, CountsADisplacedConnectionUntilItIsClosed)
{
    const auto id = admit();
    CHECK(id == admission.displace());
    LONGS_EQUAL(1, admission.count());
    admission.changeState(id, ConnectionState::ReceivingHeader, usualBounds);
    LONGS_EQUAL(1, admission.count(ConnectionState::ReceivingHeader));
    admission.remove(id);
    LONGS_EQUAL(0, admission.count());
}

TEST(ConnectionAdmission, RefusesARequestForWhichThereIsNoSecondDescriptor)
{
    const ConnectionBounds bounds { 4096, 16, 0, {} };
    std::array<ConnectionAdmission::Id, 7> connections {};
    for (auto& connection : connections)
        connection = admit(ConnectionState::ReceivingHeader);
    for (int i = 0; i < 6; ++i)
        CHECK_FALSE(admission.changeState(connections[i], ConnectionState::Busy, bounds).isRefused);
    CHECK(admission.changeState(connections[6], ConnectionState::Busy, bounds).isRefused);
    LONGS_EQUAL(6, admission.count(ConnectionState::Busy));
}

// Ordinary callers keep their connections and find new ones beside a crowd of idle connections. The other two ways,
// which docs/design/connection-limits.md compares, fail one or the other.
TEST(ConnectionAdmission, KeepsOrdinaryCallersBesideACrowdThatSendsNothing)
{
    const auto chosen = ServerModel(Way::CloseLongestIdle).run(Crowd::SendsNothing);
    LONGS_EQUAL(0, chosen.refused);
    LONGS_EQUAL(0, chosen.brokenPromises);
    CHECK(chosen.maxOpen <= maxDescriptors * 3 / 4);
    CHECK(ServerModel(Way::RefuseNew).run(Crowd::SendsNothing).refused > 0);
    CHECK(ServerModel(Way::ShortenIdleTime).run(Crowd::SendsNothing).brokenPromises > 0);
}

TEST(ConnectionAdmission, KeepsOrdinaryCallersBesideACrowdThatHasBeenServedOnce)
{
    const auto chosen = ServerModel(Way::CloseLongestIdle).run(Crowd::HasBeenServed);
    LONGS_EQUAL(0, chosen.refused);
    LONGS_EQUAL(0, chosen.brokenBodies);
    CHECK(chosen.maxOpen <= maxDescriptors * 3 / 4);
    CHECK(ServerModel(Way::CloseBodiesFirst).run(Crowd::HasBeenServed).brokenBodies > 0);
}

// Guards against callers that hold all connections with bodies that they never complete.
TEST(ConnectionAdmission, KeepsOrdinaryCallersBesideACrowdThatLeavesBodiesIncomplete)
{
    const auto chosen = ServerModel(Way::CloseLongestIdle).run(Crowd::LeavesBodiesIncomplete);
    LONGS_EQUAL(0, chosen.refused);
    LONGS_EQUAL(0, chosen.brokenBodies);
    LONGS_EQUAL(0, chosen.brokenPromises);
    CHECK(chosen.maxOpen <= maxDescriptors * 3 / 4);
    CHECK(ServerModel(Way::CloseBodiesLast).run(Crowd::LeavesBodiesIncomplete).brokenPromises > 0);
}

TEST(ConnectionAdmission, KeepsOrdinaryBodiesBesideACrowdOfBothKinds)
{
    const auto chosen = ServerModel(Way::CloseLongestIdle).run(Crowd::Mixed);
    LONGS_EQUAL(0, chosen.refused);
    LONGS_EQUAL(0, chosen.brokenBodies);
}
