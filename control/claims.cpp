// Encodes and decodes claim records, applies them, and batches new items into appends.
#include "control/claims.h"

#include "control/loadview.h"
#include "galenafold/hex.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int claimFormat = 1;                                       // version of the record format
constexpr auto minAppendInterval = std::chrono::milliseconds(100);   // for one partition
constexpr auto appendRetryInterval = std::chrono::milliseconds(500); // until an item not read back is sent again
constexpr auto readInterval = std::chrono::milliseconds(50);         // between reads once the end was reached
constexpr std::size_t maxItemsPerAppend = 500;
constexpr std::size_t maxStoredBodyBytes = 4096;                // a larger body is not returned to repeated requests
constexpr auto maxClockSkew = std::chrono::milliseconds(60000); // how far in the future a key's creation time may be

// Keys

int claimPartitionOf(const std::string &fullKey)
{
    return static_cast<int>(hashName(fullKey) % claimPartitionCount);
}

std::string claimStream(int partition)
{
    return "claims-" + std::to_string(partition);
}

/// @return true if the text is 8-4-4-4-12 hexadecimal digits, separated by dashes
static bool hasUuidLayout(std::string_view text)
{
    constexpr std::string_view layout = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
    const auto fits = [](char byte, char place) {
        return place == '-' ? byte == '-' : std::isxdigit(static_cast<unsigned char>(byte)) != 0;
    };
    return text.size() == layout.size() && std::equal(text.begin(), text.end(), layout.begin(), fits);
}

std::optional<UnixMillis> uuidV7Time(const std::string &uuidV7)
{
    constexpr std::size_t versionDigitAt = 14;
    if (!hasUuidLayout(uuidV7) || uuidV7[versionDigitAt] != '7') {
        return std::nullopt;
    }
    const auto millis = parseHex(uuidV7.substr(0, 8) + uuidV7.substr(9, 4));
    return millis ? std::optional(UnixMillis(static_cast<UnixMillis::rep>(*millis))) : std::nullopt;
}

/// @return the idempotency key that the caller sent, the last part of a full key
static std::string idempotencyKeyOf(const std::string &fullKey)
{
    return fullKey.substr(fullKey.rfind('/') + 1);
}

// Items

static Json encodeItem(const ClaimItem &item)
{
    Json json{{"key", item.key}, {"nonce", item.nonce}};
    switch (item.kind) {
    case ClaimKind::Claim:
        json["kind"] = "claim";
        json["fingerprint"] = item.fingerprint;
        json["window"] = item.window.count();
        break;
    case ClaimKind::Void:
        json["kind"] = "void";
        break;
    case ClaimKind::Outcome:
        json["kind"] = "outcome";
        json["status"] = item.outcome.status;
        json["type"] = item.outcome.contentType;
        json["kept"] = item.outcome.isBodyKept && item.outcome.body.size() <= maxStoredBodyBytes;
        json["body"] = json["kept"].get<bool>() ? item.outcome.body : std::string();
        break;
    }
    return json;
}

std::string encodeClaims(const std::vector<ClaimItem> &items)
{
    Json list = Json::array();
    for (const ClaimItem &item : items) {
        list.push_back(encodeItem(item));
    }
    const Json record{{"format", claimFormat}, {"kind", "claims"}, {"items", list}};
    return record.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static ClaimItem decodeItem(const Json &json)
{
    ClaimItem item;
    const std::string kind = json.value("kind", std::string());
    item.kind = kind == "claim" ? ClaimKind::Claim : kind == "void" ? ClaimKind::Void : ClaimKind::Outcome;
    item.key = json.value("key", std::string());
    item.nonce = json.value("nonce", std::string());
    item.fingerprint = json.value("fingerprint", std::string());
    item.window = std::chrono::seconds(json.value("window", std::int64_t(0)));
    item.outcome.status = json.value("status", 0);
    item.outcome.contentType = json.value("type", std::string());
    item.outcome.body = json.value("body", std::string());
    item.outcome.isBodyKept = json.value("kept", true);
    return item;
}

bool decodeClaims(const std::string &value, std::vector<ClaimItem> &items)
{
    const Json json = Json::parse(value, nullptr, false);
    if (!json.is_object()) {
        return false;
    }
    try {
        if (json.value("format", 0) != claimFormat || json.value("kind", std::string()) != "claims") {
            return false;
        }
        std::vector<ClaimItem> decoded;
        for (const Json &item : json.at("items")) {
            decoded.push_back(decodeItem(item));
        }
        items = decoded;
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

// Table

/// @param time on the log's clock @return true if the key's creation time lies in the claim's window at that time
static bool isInWindow(const ClaimItem &claim, UnixMillis time)
{
    const auto created = uuidV7Time(idempotencyKeyOf(claim.key));
    const auto window = std::chrono::duration_cast<UnixMillis>(std::min(claim.window, maxKeyWindow));
    return created && time - *created <= window && *created - time <= maxClockSkew;
}

void ClaimTable::applyClaim(KeyState &key, const ClaimItem &item, UnixMillis time)
{
    if (key.activeNonce == item.nonce) {
        return; // a retried append was stored twice
    }
    if (!isInWindow(item, time) || !key.activeNonce.empty() || key.rejectedNonces.count(item.nonce) > 0) {
        key.rejectedNonces.insert(item.nonce);
        return;
    }
    key.activeNonce = item.nonce;
    key.fingerprint = item.fingerprint;
}

std::vector<ClaimItem> ClaimTable::applyRecord(const ClaimRecord &record)
{
    std::vector<ClaimItem> items;
    if (record.offset < m_upTo) {
        return items;
    }
    m_upTo = record.offset + 1;
    m_lastTime = std::max(m_lastTime, record.time);
    decodeClaims(record.value, items);
    for (const ClaimItem &item : items) {
        const bool isNew = m_keys.count(item.key) == 0;
        KeyState &key = m_keys[item.key];
        if (isNew) {
            key.expiresAt = record.time + std::chrono::duration_cast<UnixMillis>(maxKeyWindow) + 2 * maxClockSkew;
            m_expiryQueue.emplace_back(key.expiresAt, item.key);
        }
        if (item.kind == ClaimKind::Claim) {
            applyClaim(key, item, record.time);
        } else if (item.kind == ClaimKind::Void) {
            key.rejectedNonces.insert(item.nonce);
            key.activeNonce = key.activeNonce == item.nonce ? std::string() : key.activeNonce;
        } else if (key.activeNonce == item.nonce && !key.outcome) {
            key.outcome = item.outcome;
        }
    }
    evictExpired(record.time);
    return items;
}

void ClaimTable::evictExpired(UnixMillis time)
{
    while (!m_expiryQueue.empty()) {
        const auto key = m_keys.find(m_expiryQueue.front().second);
        if (key != m_keys.end() && key->second.expiresAt > time) {
            break;
        }
        if (key != m_keys.end()) {
            m_keys.erase(key);
        }
        m_expiryQueue.pop_front();
    }
}

std::optional<ClaimAnswer> ClaimTable::answer(const ClaimItem &claim) const
{
    const auto found = m_keys.find(claim.key);
    if (found == m_keys.end() || found->second.activeNonce.empty()) {
        return std::nullopt;
    }
    const KeyState &key = found->second;
    if (key.fingerprint != claim.fingerprint) {
        return ClaimAnswer{ClaimResult::Mismatch, {}};
    }
    if (key.outcome) {
        return ClaimAnswer{ClaimResult::Replay, *key.outcome};
    }
    return ClaimAnswer{key.activeNonce == claim.nonce ? ClaimResult::Won : ClaimResult::InProgress, {}};
}

std::optional<ClaimAnswer> ClaimTable::answerToRejected(const ClaimItem &claim) const
{
    const auto found = m_keys.find(claim.key);
    if (found == m_keys.end() || found->second.rejectedNonces.count(claim.nonce) == 0) {
        return std::nullopt;
    }
    const bool isExpired = !isInWindow(claim, m_lastTime);
    return ClaimAnswer{isExpired ? ClaimResult::Expired : ClaimResult::InProgress, {}};
}

// Batcher

void ClaimBatcher::onItem(Instant now, const ClaimItem &item, Instant answerBy)
{
    (void)now;
    if (item.kind == ClaimKind::Claim) {
        m_waiting[item.nonce] = {item, answerBy, false};
        return;
    }
    if (item.kind == ClaimKind::Void) {
        m_waiting.erase(item.nonce);
        const auto hasSameNonce = [&item](const Pending &pending) { return pending.item.nonce == item.nonce; };
        m_outbox.erase(std::remove_if(m_outbox.begin(), m_outbox.end(), hasSameNonce), m_outbox.end());
    }
    m_outbox.push_back({item, {}, false});
}

void ClaimBatcher::onAppendEnded(Instant now, bool isAcknowledged)
{
    m_isAppendInFlight = false;
    m_mustRead = true;
    m_nextRead = now;
    if (isAcknowledged) {
        return;
    }
    for (Pending &pending : m_outbox) {
        pending.retryAt = pending.wasSent ? now + appendRetryInterval : Instant{};
    }
}

void ClaimBatcher::onRecords(Instant now, const std::vector<ClaimRecord> &records, LogOffset firstRetained,
                             LogOffset end)
{
    m_table.skipTo(firstRetained);
    std::set<std::pair<std::string, ClaimKind>> seen;
    for (const ClaimRecord &record : records) {
        for (const ClaimItem &item : m_table.applyRecord(record)) {
            seen.insert({item.nonce, item.kind});
        }
    }
    const auto isSeen = [&seen](const Pending &pending) {
        return seen.count({pending.item.nonce, pending.item.kind}) > 0;
    };
    for (const Pending &pending : m_outbox) {
        if (isSeen(pending) && pending.item.kind != ClaimKind::Claim) {
            m_settled.push_back(pending.item.nonce);
        }
    }
    m_outbox.erase(std::remove_if(m_outbox.begin(), m_outbox.end(), isSeen), m_outbox.end());
    m_end = end;
    const bool isAtEnd = m_table.upTo() >= end;
    m_isCaughtUp = m_isCaughtUp || isAtEnd;
    m_mustRead = !isAtEnd;
    m_nextRead = isAtEnd ? now + readInterval : now;
}

void ClaimBatcher::addAnswer(const std::string &nonce, const ClaimAnswer &answer, ClaimActions &actions)
{
    actions.answers.emplace_back(nonce, answer);
}

void ClaimBatcher::collectAnswers(Instant now, ClaimActions &actions)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        Waiting &waiting = it->second;
        std::optional<ClaimAnswer> answer;
        if (m_isCaughtUp) {
            answer = m_table.answer(waiting.claim);
        }
        if (!answer && waiting.isQueued) {
            answer = m_table.answerToRejected(waiting.claim);
        }
        if (!answer && now >= waiting.answerBy) {
            answer = ClaimAnswer{ClaimResult::Unavailable, {}};
        }
        if (!answer) {
            if (m_isCaughtUp && !waiting.isQueued) {
                waiting.isQueued = true;
                m_outbox.push_back({waiting.claim, {}, false});
            }
            ++it;
            continue;
        }
        addAnswer(it->first, *answer, actions);
        it = m_waiting.erase(it);
    }
}

void ClaimBatcher::collectAppend(Instant now, ClaimActions &actions)
{
    if (m_isAppendInFlight || now < m_nextAppend) {
        return;
    }
    for (Pending &pending : m_outbox) {
        const bool isDue = !pending.wasSent || now >= pending.retryAt;
        if (!isDue || actions.append.size() >= maxItemsPerAppend) {
            continue;
        }
        pending.wasSent = true;
        pending.retryAt = now + appendRetryInterval;
        actions.append.push_back(pending.item);
    }
    if (!actions.append.empty()) {
        m_isAppendInFlight = true;
        m_nextAppend = now + minAppendInterval;
    }
}

ClaimActions ClaimBatcher::onTick(Instant now)
{
    ClaimActions actions;
    actions.settled.swap(m_settled);
    collectAnswers(now, actions);
    collectAppend(now, actions);
    const bool isWaiting = !m_waiting.empty() || !m_outbox.empty();
    actions.mustRead = now >= m_nextRead && (m_mustRead || isWaiting);
    return actions;
}

} // namespace galenafold
