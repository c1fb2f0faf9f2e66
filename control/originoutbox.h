// What a router has to tell other routers of the origins of streams, and when: messages are batched, and paced by a
// byte budget of their own, so that load beacons are not delayed.
//
// Sections of this file: Message, Budget, Outbox.
#pragma once

#include "control/origintable.h"

#include <set>

namespace galenafold
{

// Message

struct ToldOrigin {
    StreamOrigin origin;
    std::uint8_t ageSeconds = 0; // of the stream when the message is sent
};

/// One datagram between two routers. Delivery is lossy.
struct OriginMessage {
    std::vector<ToldOrigin> told;   // that the receiver is to keep, or has asked for
    std::vector<StreamKey> asked;   // of which the sender wants to know the origin
    std::vector<StreamKey> unknown; // that the receiver has asked for, and the sender does not know
    std::vector<StreamKey> loading; // that the receiver has asked for, and the sender reads from the store

    bool isEmpty() const { return told.empty() && asked.empty() && unknown.empty() && loading.empty(); }
};

constexpr std::size_t maxMessageStreams = 100; // of all lists together, so that a message fits into one packet

/// @return size of the datagram with its headers, at most
int messageBytes(const OriginMessage &message);

// Budget

/// Token bucket, in bytes.
class ByteBucket
{
public:
    /// @param burst bytes that it holds at most, and at first
    ByteBucket(double bytesPerSecond, double burst);

    /// @param reserve bytes that are to be left @return true if the bytes may be sent; they are then deducted
    bool take(Instant now, int bytes, double reserve = 0);

private:
    double m_bytesPerSecond;
    double m_burst;
    double m_bytes;
    Instant m_refilledAt{};
};

/// Rate at which a router may tell origins with what beacons lend besides its own share, at most.
constexpr double lentBytesPerSecond = 680;

// Outbox

/// How urgent it is to send something.
enum class OriginLane : std::uint8_t {
    Question, // and answers: a caller waits
    Fresh,    // streams that have just begun
    Retold,   // to a new keeper, or as a second version has appeared
    Repeat,   // what was fresh once more, as datagrams are lost
};

/// Queues by receiver. A receiver's messages of one lane go in one datagram.
class OriginOutbox
{
public:
    OriginOutbox();

    void ask(std::uint32_t to, StreamKey stream);
    void answer(std::uint32_t to, StreamKey stream); ///< The origin is known.
    void deny(std::uint32_t to, StreamKey stream);   ///< It is not.
    void putOff(std::uint32_t to, StreamKey stream); ///< It is read from the store.
    void tell(Instant now, std::uint32_t to, StreamKey stream);
    void retell(std::uint32_t to, StreamKey stream);

    /// Forgets what was to be told to others. @param routers sorted
    void keepOnly(const std::vector<std::uint32_t> &routers);

    /// Sends what is due and within the budget.
    void send(Instant now);

    /// @return when `send` is to be called next; nothing: there is nothing to send
    std::optional<Instant> nextSendAt() const;

    /// @return an origin as this router knows it now; nothing: it is forgotten
    std::function<std::optional<ToldOrigin>(Instant, StreamKey)> lookUp;
    std::function<void(std::uint32_t to, const OriginMessage &)> onSend;

    /// Asks for bytes that the router's other messages do not need now. @return true if they may be sent
    std::function<bool(Instant, int bytes)> borrow = [](Instant, int) { return false; };

private:
    struct Receiver {
        std::set<StreamKey> asked;
        std::set<StreamKey> answers;
        std::set<StreamKey> unknown;
        std::set<StreamKey> loading;
        std::deque<StreamKey> fresh; // oldest first, as the two below
        std::deque<StreamKey> repeats;
        std::deque<StreamKey> retold;
        Instant freshDueAt{};
        Instant repeatsDueAt{};

        bool hasQuestions() const { return !asked.empty() || !answers.empty() || !unknown.empty() || !loading.empty(); }
    };
    using Turn = std::tuple<OriginLane, Instant, std::uint32_t>; // what is sent first is the least

    static std::vector<std::pair<Instant, OriginLane>> lanesOf(const Receiver &receiver);
    std::optional<Turn> nextTurn(Instant now) const;
    OriginMessage take(Instant now, OriginLane lane, Receiver &receiver);
    void takeTold(Instant now, std::deque<StreamKey> &streams, std::size_t most, OriginMessage &message) const;
    static void repeatLater(Instant now, const std::vector<ToldOrigin> &told, Receiver &receiver);
    bool isAllowed(Instant now, OriginLane lane, int bytes);

    ByteBucket m_questions; // and answers
    ByteBucket m_tells;
    Instant m_noSendBefore{}; // the budget is used up until then
    std::map<std::uint32_t, Receiver> m_receivers;
};

} // namespace galenafold
