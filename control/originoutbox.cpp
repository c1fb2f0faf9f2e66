// What a router has to tell other routers of the origins of streams, and when.
#include "control/originoutbox.h"

#include <algorithm>

namespace galenafold
{

constexpr auto batchTime = std::chrono::milliseconds(100);  // in which streams that begin share a datagram
constexpr auto repeatTime = std::chrono::milliseconds(500); // after which they are told once more
constexpr auto budgetRetryTime = std::chrono::milliseconds(50);
constexpr double questionBytesPerSecond = 340; // with the next: what beacons leave of a router's 7 KB/s
constexpr double tellBytesPerSecond = 680;
constexpr double questionBurst = 16000; // a third of a small fleet is killed, and all its streams are taken up at once
constexpr double tellBurst = 2 * tellBytesPerSecond;
constexpr std::size_t maxRepeats = 128;       // for one receiver; the oldest are dropped
constexpr std::size_t maxFresh = 1024;        // the same
constexpr std::size_t maxRetold = 4096;       // for one receiver
constexpr std::size_t retoldPerMessage = 48;  // so that it leaves room for what is more urgent
constexpr int emptyMessageBytes = 28 + 5 + 4; // headers of IPv4 and UDP, mark, a message without lists
constexpr int toldListsBytes = 20;            // pointers of the lists
constexpr int versionBytes = 5;
constexpr int toldBytes = 10; // key, age, position of the version
constexpr int listBytes = 10;
constexpr int streamBytes = 8;
constexpr int bytesPerRun = 8; // in which streams take a byte more

// Message

int messageBytes(const OriginMessage &message)
{
    int bytes = emptyMessageBytes;
    if (!message.told.empty()) {
        std::set<VersionHash> versions;
        for (const ToldOrigin &told : message.told) {
            versions.insert(told.origin.version);
        }
        bytes += toldListsBytes + toldBytes * static_cast<int>(message.told.size());
        bytes += versionBytes * static_cast<int>(versions.size());
    }
    for (const auto *list : {&message.asked, &message.unknown, &message.loading}) {
        const auto count = static_cast<int>(list->size());
        bytes += count == 0 ? 0 : listBytes + streamBytes * count + count / bytesPerRun + 1;
    }
    return bytes;
}

static std::size_t streamCount(const OriginMessage &message)
{
    return message.told.size() + message.asked.size() + message.unknown.size() + message.loading.size();
}

// Budget

ByteBucket::ByteBucket(double bytesPerSecond, double burst)
    : m_bytesPerSecond(bytesPerSecond)
    , m_burst(burst)
    , m_bytes(burst)
{
}

bool ByteBucket::take(Instant now, int bytes, double reserve)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_bytes = std::min(m_burst, m_bytes + elapsed * m_bytesPerSecond);
    m_refilledAt = now;
    if (m_bytes < bytes + reserve) {
        return false;
    }
    m_bytes -= bytes;
    return true;
}

// Outbox

OriginOutbox::OriginOutbox()
    : m_questions(questionBytesPerSecond, questionBurst)
    , m_tells(tellBytesPerSecond, tellBurst)
{
}

void OriginOutbox::ask(std::uint32_t to, StreamKey stream)
{
    m_receivers[to].asked.insert(stream);
}

void OriginOutbox::answer(std::uint32_t to, StreamKey stream)
{
    m_receivers[to].answers.insert(stream);
}

void OriginOutbox::deny(std::uint32_t to, StreamKey stream)
{
    m_receivers[to].unknown.insert(stream);
}

void OriginOutbox::putOff(std::uint32_t to, StreamKey stream)
{
    m_receivers[to].loading.insert(stream);
}

void OriginOutbox::tell(Instant now, std::uint32_t to, StreamKey stream)
{
    Receiver &receiver = m_receivers[to];
    if (receiver.fresh.empty()) {
        receiver.freshDueAt = now + batchTime;
    }
    receiver.fresh.push_back(stream);
    if (receiver.fresh.size() > maxFresh) {
        receiver.fresh.pop_front();
    }
}

void OriginOutbox::retell(std::uint32_t to, StreamKey stream)
{
    std::deque<StreamKey> &retold = m_receivers[to].retold;
    if (retold.size() < maxRetold) {
        retold.push_front(stream); // what is told first is at the end, as in the other queues
    }
}

void OriginOutbox::keepOnly(const std::vector<std::uint32_t> &routers)
{
    for (auto receiver = m_receivers.begin(); receiver != m_receivers.end();) {
        const bool isKept = std::binary_search(routers.begin(), routers.end(), receiver->first);
        receiver = isKept || receiver->second.hasQuestions() ? std::next(receiver) : m_receivers.erase(receiver);
    }
}

std::vector<std::pair<Instant, OriginLane>> OriginOutbox::lanesOf(const Receiver &receiver)
{
    std::vector<std::pair<Instant, OriginLane>> lanes;
    if (receiver.hasQuestions()) {
        lanes.emplace_back(Instant(), OriginLane::Question);
    }
    if (!receiver.fresh.empty()) {
        lanes.emplace_back(receiver.freshDueAt, OriginLane::Fresh);
    }
    if (!receiver.retold.empty()) {
        lanes.emplace_back(Instant(), OriginLane::Retold);
    }
    if (!receiver.repeats.empty()) {
        lanes.emplace_back(receiver.repeatsDueAt, OriginLane::Repeat);
    }
    return lanes;
}

/// @return the most urgent of what is due
std::optional<OriginOutbox::Turn> OriginOutbox::nextTurn(Instant now) const
{
    std::optional<Turn> next;
    for (const auto &[to, receiver] : m_receivers) {
        for (const auto &[dueAt, lane] : lanesOf(receiver)) {
            const Turn turn{lane, dueAt, to};
            if (now >= dueAt && (!next || turn < *next)) {
                next = turn;
            }
        }
    }
    return next;
}

std::optional<Instant> OriginOutbox::nextSendAt() const
{
    std::optional<Instant> next;
    for (const auto &[to, receiver] : m_receivers) {
        for (const auto &[dueAt, lane] : lanesOf(receiver)) {
            next = std::min(next.value_or(dueAt), dueAt);
        }
    }
    return next ? std::optional(std::max(*next, m_noSendBefore)) : std::nullopt;
}

/// Takes the newest first: their callers are the most likely to come back.
void OriginOutbox::takeTold(Instant now, std::deque<StreamKey> &streams, std::size_t most, OriginMessage &message) const
{
    for (std::size_t count = 0; count < most && !streams.empty() && streamCount(message) < maxMessageStreams; ++count) {
        if (const auto told = lookUp(now, streams.back())) {
            message.told.push_back(*told);
        }
        streams.pop_back();
    }
}

static void takeStreams(std::set<StreamKey> &streams, OriginMessage &message, std::vector<StreamKey> &list)
{
    while (!streams.empty() && streamCount(message) < maxMessageStreams) {
        list.push_back(*streams.begin());
        streams.erase(streams.begin());
    }
}

OriginMessage OriginOutbox::take(Instant now, OriginLane lane, Receiver &receiver)
{
    OriginMessage message;
    takeStreams(receiver.asked, message, message.asked);
    takeStreams(receiver.unknown, message, message.unknown);
    takeStreams(receiver.loading, message, message.loading);
    std::deque<StreamKey> answers(receiver.answers.begin(), receiver.answers.end());
    takeTold(now, answers, answers.size(), message);
    receiver.answers = std::set<StreamKey>(answers.begin(), answers.end());
    const std::size_t answered = message.told.size();
    takeTold(now, receiver.fresh, receiver.fresh.size(), message);
    const std::vector<ToldOrigin> fresh(message.told.begin() + static_cast<std::ptrdiff_t>(answered),
                                        message.told.end());
    if (lane == OriginLane::Repeat) {
        takeTold(now, receiver.repeats, receiver.repeats.size(), message);
    } else if (lane == OriginLane::Retold) {
        takeTold(now, receiver.retold, retoldPerMessage, message);
    }
    repeatLater(now, fresh, receiver);
    return message;
}

void OriginOutbox::repeatLater(Instant now, const std::vector<ToldOrigin> &told, Receiver &receiver)
{
    if (receiver.repeats.empty()) {
        receiver.repeatsDueAt = now + repeatTime;
    }
    for (const ToldOrigin &each : told) {
        receiver.repeats.push_back(each.origin.stream);
    }
    while (receiver.repeats.size() > maxRepeats) {
        receiver.repeats.pop_front();
    }
}

/// What is told once more, or to a new keeper, leaves a reserve for streams that have just begun.
bool OriginOutbox::isAllowed(Instant now, OriginLane lane, int bytes)
{
    switch (lane) {
    case OriginLane::Question:
        return m_questions.take(now, bytes) || m_tells.take(now, bytes);
    case OriginLane::Fresh:
        return m_tells.take(now, bytes) || borrow(now, bytes);
    case OriginLane::Retold:
    case OriginLane::Repeat:
        return m_tells.take(now, bytes, tellBurst / 2) || borrow(now, bytes);
    }
    return false;
}

void OriginOutbox::send(Instant now)
{
    while (now >= m_noSendBefore) {
        const auto turn = nextTurn(now);
        if (!turn) {
            return;
        }
        const auto [lane, dueAt, to] = *turn;
        Receiver after = m_receivers[to];
        const OriginMessage message = take(now, lane, after);
        if (!message.isEmpty() && !isAllowed(now, lane, messageBytes(message))) {
            m_noSendBefore = now + budgetRetryTime;
            return;
        }
        m_receivers[to] = std::move(after);
        if (!message.isEmpty()) {
            onSend(to, message);
        }
    }
}

} // namespace galenafold
