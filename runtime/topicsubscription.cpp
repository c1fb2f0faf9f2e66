// Subscription to one topic of the platform's store.
//
// Sections of this file: Calls, Store, Other routers, Followers.
#include "runtime/topicsubscription.h"

#include "net/status.h"

#include <algorithm>
#include <asio/ip/address_v4.hpp>

namespace galenafold
{

constexpr std::size_t loggedTransferBytes = 64 << 10; // of a response that gets a log line of its own
constexpr auto sharedTime = std::chrono::seconds(3);  // for which the topic is read often after a router has asked
constexpr auto answerTimeout = std::chrono::milliseconds(300); // beyond the wait for news
constexpr auto listingWait = std::chrono::seconds(1);          // for a router that is itself reading a large listing
constexpr auto listingAnswerTimeout = std::chrono::milliseconds(1500); // beyond that: all followers are sent it at once
constexpr auto askAgainPause = std::chrono::milliseconds(200);

static std::string addressText(const TopicSource &source)
{
    return source.isStore() ? "store" : asio::ip::address_v4(*source.router).to_string();
}

TopicSubscription::TopicSubscription(asio::io_context &io, const TopicSubscriptionSettings &settings,
                                     TopicSubscriptionHooks hooks, EventLog &log)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_store(io, settings.store)
    , m_router(io, "")
    , m_knowledge(settings.reading, settings.cache, knowledgeHooks(), settings.seed)
    , m_sources(text(settings.topic), settings.seed)
    , m_timer(io)
{
    if (settings.topic == StoreTopic::Registry) { // it is mostly heartbeats
        m_sources.setCostly();
    }
}

TopicKnowledgeHooks TopicSubscription::knowledgeHooks()
{
    TopicKnowledgeHooks hooks;
    hooks.topic = m_hooks.topic;
    hooks.topic.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &begin) {
        m_sources.onListed();
        logListing(records.size(), begin);
        m_hooks.topic.onListed(records, begin);
    };
    hooks.onLost = m_hooks.onLost;
    hooks.onRegained = m_hooks.onRegained;
    hooks.onRestored = [this](Instant now, const std::optional<StoreEra> &before) {
        LogLine line("store_restored");
        line.text("topic", text(m_settings.topic));
        line.number("era", era().value_or(0)).number("before", before.value_or(0));
        m_log.write(line, LogPriority::Notable);
        m_hooks.onRestored(now);
    };
    return hooks;
}

/// Tells under which era of the store a listing was taken over and from whom: one that is from before a restore has
/// another end than what the store itself tells.
void TopicSubscription::logListing(std::size_t records, const TopicPosition &begin)
{
    LogLine line("topic_listed");
    line.text("topic", text(m_settings.topic)).text("from", addressText(m_source));
    line.number("era", begin.era.value_or(0)).number("up_to", begin.offset);
    line.number("records", static_cast<std::int64_t>(records));
    m_log.write(line, LogPriority::Notable);
}

TopicSubscriptionStats TopicSubscription::stats() const
{
    TopicSubscriptionStats stats = m_stats;
    stats.packings = m_knowledge.told().packings();
    stats.provedAt = m_knowledge.provedAt();
    return stats;
}

// Calls

void TopicSubscription::start()
{
    m_hasStarted = true;
    scheduleNext();
}

/// A store that is slow because hundreds of routers start is waited for; one that fails is asked after other routers.
void TopicSubscription::startAfterCall(bool isAnswered)
{
    if (m_hasStarted) {
        return;
    }
    if (isAnswered) {
        m_knowledge.consumer().onStoreAnswersOthers();
    } else {
        m_sources.onStoreFailed(clockNow() + m_settings.reading.responseTimeout);
    }
    start();
}

void TopicSubscription::readNow()
{
    const bool isCalling = m_store.isCalling() || m_router.isCalling();
    if (m_hasStarted && !isCalling) {
        m_timer.cancel();
        chooseSource(clockNow());
        send();
    }
}

void TopicSubscription::readStoreNow()
{
    m_mustAskStore = true;
    readNow();
}

void TopicSubscription::setRouters(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others)
{
    if (m_settings.peerPort == 0) {
        return;
    }
    constexpr std::size_t megabitBytes = 125000;
    const std::size_t bytesPerSecond = megabitBytes << static_cast<unsigned>(self.linkClass);
    m_knowledge.told().setMaxAnswerBytes(bytesPerSecond / (others.size() + 1)); // all may ask at once: a second's worth
    m_sources.setRouters(self, others);
    const bool isCalling = m_store.isCalling() || m_router.isCalling();
    if (m_knowledge.consumer().isListingLarge() && !isCalling) { // it waits to know whom to ask
        m_timer.cancel();
        scheduleNext();
    }
}

void TopicSubscription::chooseSource(Instant now)
{
    const bool isLeft = m_knowledge.consumer().isListingLarge() && m_settings.peerPort > 0;
    if (isLeft && m_sources.onLargeListing(now)) {
        LogLine line("large_listing");
        const TopicSource next = m_sources.next(now);
        line.text("topic", text(m_settings.topic)).text("rest_from", addressText(next));
        line.millis("waits_ms", std::max<Duration>(next.notBefore - now, Duration{}));
        m_log.write(line, LogPriority::Notable);
    }
    const TopicSource source = m_mustAskStore ? TopicSource() : m_sources.next(now);
    if (source.router != m_source.router) {
        LogLine line("topic_source");
        line.text("topic", text(m_settings.topic)).text("from", addressText(source));
        line.text("before", addressText(m_source)).text("why", m_sourceReason);
        line.millis("proof_age_ms", now - m_knowledge.provedAt());
        m_log.write(line, LogPriority::Notable);
    }
    m_source = source;
    m_sourceReason = "preferred";
    m_stats.followsRouter = !source.isStore();
    m_knowledge.consumer().setShared(now, now < m_sharedUntil, false);
    m_request = m_knowledge.consumer().next(now);
}

void TopicSubscription::scheduleNext()
{
    const Instant now = clockNow();
    chooseSource(now);
    const Instant paced = m_source.isStore() ? m_request.notBefore : m_knowledge.consumer().nextFollowing(now);
    const Instant notBefore = m_mustAskStore ? now : std::max({paced, m_source.notBefore, m_askAgainAt});
    if (notBefore <= now) {
        send();
        return;
    }
    m_timer.expires_at(notBefore);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            scheduleNext();
        }
    });
}

void TopicSubscription::send()
{
    m_sentAt = clockNow();
    if (m_source.isStore()) {
        m_mustAskStore = false;
        askStore();
    } else {
        askRouter(*m_source.router);
    }
}

// Store

void TopicSubscription::askStore()
{
    ClientCallHooks hooks;
    hooks.onResponse = [this](const ClientResponse &response) { onResponse(response); };
    hooks.onFailure = [this](const char *reason) { onStoreFailure(reason); };
    m_store.call(encodeTopicRequest(m_request, m_settings.topic, m_store.address()),
                 m_sentAt + m_request.longPollTimeout + m_request.responseTimeout, std::move(hooks));
}

/// Passes the body to the consumer. @return false if it is malformed
bool TopicSubscription::decodeBody(Instant now, const std::string &body)
{
    if (m_request.kind != TopicRequestKind::Read) {
        auto page = decodeListingPage(body);
        if (page && m_request.kind == TopicRequestKind::End) {
            m_knowledge.consumer().onEnd(m_sentAt, now, page->end);
        } else if (page) {
            m_knowledge.consumer().onPage(m_sentAt, now, std::move(*page));
        }
        return page.has_value();
    }
    auto read = decodeRead(body, m_request.from);
    if (read) {
        m_knowledge.consumer().onRead(m_sentAt, now, std::move(*read));
    }
    return read.has_value();
}

/// A large response takes long where the link is slow, or where many routers share the store's rate.
void TopicSubscription::noteTransfer(Instant now)
{
    const ResponseTransfer &transfer = m_store.transfer();
    m_stats.bytes += static_cast<std::int64_t>(transfer.bytes);
    if (transfer.bytes < loggedTransferBytes) {
        return;
    }
    LogLine line("store_transfer");
    line.text("topic", text(m_settings.topic)).flag("listing", m_request.kind == TopicRequestKind::Listing);
    line.number("bytes", static_cast<std::int64_t>(transfer.bytes));
    line.millis("waited_ms", *transfer.firstBytesAt - m_sentAt).millis("took_ms", now - *transfer.firstBytesAt);
    m_log.write(line, LogPriority::Notable);
}

/// @return false if the body is malformed
bool TopicSubscription::handleAnswer(Instant now, const ClientResponse &response)
{
    if (response.status != statusGone) {
        return decodeBody(now, response.body);
    }
    LogLine line("history_cut");
    line.text("topic", text(m_settings.topic)).number("from", m_request.from);
    m_log.write(line, LogPriority::Notable);
    m_knowledge.consumer().onOffsetOutOfRange();
    return true;
}

/// What the store answers for an offset of the era before is ignored: a listing follows.
void TopicSubscription::onResponse(const ClientResponse &response)
{
    const Instant now = clockNow();
    noteTransfer(now);
    const bool isRestored = m_knowledge.onStoreEra(now, decodeStoreEra(response.fields));
    const bool isAnswered = response.status == statusOk || response.status == statusGone;
    if (!isAnswered || (!isRestored && !handleAnswer(now, response))) {
        m_store.disconnect();
        onStoreFailure(isAnswered ? "unreadable" : std::to_string(response.status).c_str());
        return;
    }
    m_sources.onUseful(m_source);
    if (m_knowledge.outage().isLost()) {
        m_sources.onStoreRegained();
        m_knowledge.onStoreRegained(now);
    }
    m_stats.calls = m_store.calls();
    onProgress();
    scheduleNext();
}

void TopicSubscription::onStoreFailure(const char *reason)
{
    const Instant now = clockNow();
    const ResponseTransfer &transfer = m_store.transfer();
    const std::int64_t abandoned = transfer.isComplete ? 0 : static_cast<std::int64_t>(transfer.bytes);
    m_stats.calls = m_store.calls();
    ++m_stats.failures;
    m_stats.bytes += abandoned;
    m_stats.abandonedBytes += abandoned;
    if (!m_knowledge.outage().isLost() || abandoned > 0) {
        LogLine line(m_knowledge.outage().isLost() ? "store_still_lost" : "store_lost");
        line.text("topic", text(m_settings.topic)).text("why", reason).millis("after_ms", now - m_sentAt);
        line.number("received", abandoned);
        m_log.write(line, LogPriority::Notable);
    }
    if (transfer.bytes == 0) {
        m_knowledge.consumer().onNoResponse(now);
    } else {
        m_knowledge.consumer().onFailure(now);
    }
    m_sources.onStoreFailed(m_knowledge.consumer().next(now).notBefore);
    m_sourceReason = reason;
    m_knowledge.onStoreLost(now);
    onProgress();
    scheduleNext();
}

// Other routers

void TopicSubscription::askRouter(std::uint32_t router)
{
    const std::string address = asio::ip::address_v4(router).to_string() + ':' + std::to_string(m_settings.peerPort);
    m_router.setAddress(address);
    TopicQuestion question = m_knowledge.question(m_sentAt);
    question.topic = m_settings.topic;
    const bool isListingLarge = m_knowledge.consumer().isListingLarge();
    if (isListingLarge) {
        question.wait = std::max<Duration>(question.wait, listingWait);
    }
    const std::string body = encodeTopicQuestion(question);
    std::string request = "POST /topic HTTP/1.1\r\n";
    appendField(request, "Host", address);
    appendField(request, "Accept-Encoding", "gzip");
    appendField(request, "Content-Length", std::to_string(body.size()));
    ClientCallHooks hooks;
    hooks.onResponse = [this](const ClientResponse &response) { onRouterResponse(response); };
    hooks.onFailure = [this](const char *reason) { onUselessRouter(reason); };
    ++m_stats.questions;
    const Duration timeout = isListingLarge ? Duration(listingAnswerTimeout) : Duration(answerTimeout);
    m_router.call(request + "\r\n" + body, m_sentAt + question.wait + timeout, std::move(hooks));
}

void TopicSubscription::onRouterResponse(const ClientResponse &response)
{
    const Instant now = clockNow();
    const std::string *coding = findField(response.fields, "Content-Encoding");
    const bool isGzip = coding && *coding == "gzip";
    const auto answer = response.status == statusOk ? decodeTopicAnswer(response.body, isGzip) : std::nullopt;
    if (!answer) {
        m_router.disconnect();
        onUselessRouter("unreadable");
        return;
    }
    if (isToBeAskedAgain(now, *answer)) {
        m_askAgainAt = now + askAgainPause;
        scheduleNext();
        return;
    }
    if (answer->isTooLarge && !m_knowledge.outage().isLost() && !m_knowledge.consumer().isListingLarge()) {
        m_mustAskStore = true;
        scheduleNext();
        return;
    }
    if (!answer->isKnown || answer->isTooLarge || !m_knowledge.applyAnswer(m_sentAt, now, *answer)) {
        onUselessRouter(answer->isStoreLost ? "store_lost" : answer->isKnown ? "stale" : "unknown");
        return;
    }
    m_sources.onUseful(m_source);
    onProgress();
    scheduleNext();
}

/// @return true if the router reads a large listing itself, and this one waits for it
bool TopicSubscription::isToBeAskedAgain(Instant now, const TopicAnswer &answer)
{
    return !answer.isKnown && !answer.isStoreLost && m_knowledge.consumer().isListingLarge()
        && m_sources.onNotYetKnown(now);
}

void TopicSubscription::onUselessRouter(const char *reason)
{
    ++m_stats.uselessAnswers;
    m_sources.onUseless(clockNow(), m_source);
    m_sourceReason = reason;
    scheduleNext();
}

// Followers

void TopicSubscription::onAsked(Instant now)
{
    const bool isFirst = now >= m_sharedUntil;
    m_sharedUntil = now + sharedTime;
    if (!isFirst || !m_hasStarted) {
        return;
    }
    m_knowledge.consumer().setShared(now, true, true);
    const bool isLongPoll = m_store.isCalling() && m_request.longPollTimeout > Duration{};
    const bool isWaiting = !m_store.isCalling() && !m_router.isCalling();
    if (isLongPoll) {
        m_store.abandon();
    }
    if (isLongPoll || (isWaiting && !m_knowledge.outage().isLost())) {
        m_timer.cancel();
        scheduleNext();
    }
}

bool TopicSubscription::hasNews(const TopicQuestion &question, Instant waitsSince) const
{
    return m_knowledge.hasNews(question, waitsSince);
}

TopicAnswer TopicSubscription::answer(const TopicQuestion &question, Instant arrivedAt) const
{
    return m_knowledge.answer(question, arrivedAt, clockNow());
}

} // namespace galenafold
