// The fold of claim records, and the desk that batches them.
#include "control/claims.h"

#include "control/loadview.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int claimFormat = 1;
constexpr auto appendEvery = std::chrono::milliseconds(100); // at most, for one partition
constexpr auto sendAgainAfter = std::chrono::milliseconds(500);
constexpr auto readAgainAfter = std::chrono::milliseconds(50);
constexpr std::size_t mostItemsInAppend = 500;
constexpr std::size_t mostKeptBody = 4096;                   // bytes of an outcome that a repeat gets back
constexpr auto clockSkew = std::chrono::milliseconds(60000); // a key may seem this much younger than it is

// Keys

int claimPartitionOf(const std::string &fullKey)
{
    return static_cast<int>(hashName(fullKey) % claimPartitions);
}

std::string claimStream(int partition)
{
    return "claims-" + std::to_string(partition);
}

std::optional<UnixMillis> uuidV7Time(const std::string &uuidV7)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionAt = 14;
    const bool hasShape = uuidV7.size() == uuidLength && uuidV7[8] == '-' && uuidV7[13] == '-' && uuidV7[18] == '-'
        && uuidV7[23] == '-' && uuidV7[versionAt] == '7';
    const bool isHex = uuidV7.find_first_not_of("0123456789abcdefABCDEF-") == std::string::npos;
    if (!hasShape || !isHex) {
        return std::nullopt;
    }
    return UnixMillis(std::stoll(uuidV7.substr(0, 8) + uuidV7.substr(9, 4), nullptr, 16));
}

/// @return the caller's part of a full key
static std::string callerKey(const std::string &fullKey)
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
        json["kept"] = item.outcome.isBodyKept && item.outcome.body.size() <= mostKeptBody;
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

/// @return true if a key's age lies in its window at a time of the log's clock
static bool isInWindow(const ClaimItem &claim, UnixMillis time)
{
    const auto created = uuidV7Time(callerKey(claim.key));
    const auto window = std::chrono::duration_cast<UnixMillis>(std::min(claim.window, maxKeyWindow));
    return created && time - *created <= window && *created - time <= clockSkew;
}

void ClaimTable::foldClaim(Key &key, const ClaimItem &item, UnixMillis time)
{
    if (key.live == item.nonce) {
        return; // the same append taken twice
    }
    if (!isInWindow(item, time) || !key.live.empty() || key.dead.count(item.nonce) > 0) {
        key.dead.insert(item.nonce);
        return;
    }
    key.live = item.nonce;
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
        Key &key = m_keys[item.key];
        if (isNew) {
            key.forgetAt = record.time + std::chrono::duration_cast<UnixMillis>(maxKeyWindow) + 2 * clockSkew;
            m_forgetOrder.emplace_back(key.forgetAt, item.key);
        }
        if (item.kind == ClaimKind::Claim) {
            foldClaim(key, item, record.time);
        } else if (item.kind == ClaimKind::Void) {
            key.dead.insert(item.nonce);
            key.live = key.live == item.nonce ? std::string() : key.live;
        } else if (key.live == item.nonce && !key.outcome) {
            key.outcome = item.outcome;
        }
    }
    forgetOld(record.time);
    return items;
}

void ClaimTable::forgetOld(UnixMillis time)
{
    while (!m_forgetOrder.empty()) {
        const auto key = m_keys.find(m_forgetOrder.front().second);
        if (key != m_keys.end() && key->second.forgetAt > time) {
            break;
        }
        if (key != m_keys.end()) {
            m_keys.erase(key);
        }
        m_forgetOrder.pop_front();
    }
}

std::optional<ClaimAnswer> ClaimTable::answer(const ClaimItem &claim) const
{
    const auto found = m_keys.find(claim.key);
    if (found == m_keys.end() || found->second.live.empty()) {
        return std::nullopt;
    }
    const Key &key = found->second;
    if (key.fingerprint != claim.fingerprint) {
        return ClaimAnswer{ClaimResult::Mismatch, {}};
    }
    if (key.outcome) {
        return ClaimAnswer{ClaimResult::Replay, *key.outcome};
    }
    return ClaimAnswer{key.live == claim.nonce ? ClaimResult::Won : ClaimResult::InProgress, {}};
}

std::optional<ClaimAnswer> ClaimTable::answerToRejected(const ClaimItem &claim) const
{
    const auto found = m_keys.find(claim.key);
    if (found == m_keys.end() || found->second.dead.count(claim.nonce) == 0) {
        return std::nullopt;
    }
    const bool isExpired = !isInWindow(claim, m_lastTime);
    return ClaimAnswer{isExpired ? ClaimResult::Expired : ClaimResult::InProgress, {}};
}

// Desk

void ClaimBatcher::onItem(Instant now, const ClaimItem &item, Instant answerBy)
{
    (void)now;
    if (item.kind == ClaimKind::Claim) {
        m_waiting[item.nonce] = {item, answerBy, false};
        return;
    }
    if (item.kind == ClaimKind::Void) {
        m_waiting.erase(item.nonce);
        const auto isItsClaim = [&item](const Pending &pending) { return pending.item.nonce == item.nonce; };
        m_outbox.erase(std::remove_if(m_outbox.begin(), m_outbox.end(), isItsClaim), m_outbox.end());
    }
    m_outbox.push_back({item, {}, false});
}

void ClaimBatcher::onAppendEnded(Instant now, bool isTaken)
{
    m_isAppendOpen = false;
    m_mustRead = true;
    m_nextRead = now;
    if (isTaken) {
        return;
    }
    for (Pending &pending : m_outbox) {
        pending.sendAgainAt = pending.wasSent ? now + sendAgainAfter : Instant{};
    }
}

void ClaimBatcher::onRecords(Instant now, const std::vector<ClaimRecord> &records, LogOffset firstRetained,
                             LogOffset end)
{
    m_table.startAt(firstRetained);
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
    m_nextRead = isAtEnd ? now + readAgainAfter : now;
}

void ClaimBatcher::give(const std::string &nonce, const ClaimAnswer &answer, ClaimActions &actions)
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
        if (!answer && waiting.isSent) {
            answer = m_table.answerToRejected(waiting.claim);
        }
        if (!answer && now >= waiting.answerBy) {
            answer = ClaimAnswer{ClaimResult::Unavailable, {}};
        }
        if (!answer) {
            if (m_isCaughtUp && !waiting.isSent) {
                waiting.isSent = true;
                m_outbox.push_back({waiting.claim, {}, false});
            }
            ++it;
            continue;
        }
        give(it->first, *answer, actions);
        it = m_waiting.erase(it);
    }
}

void ClaimBatcher::collectAppend(Instant now, ClaimActions &actions)
{
    if (m_isAppendOpen || now < m_nextAppend) {
        return;
    }
    for (Pending &pending : m_outbox) {
        const bool isDue = !pending.wasSent || now >= pending.sendAgainAt;
        if (!isDue || actions.append.size() >= mostItemsInAppend) {
            continue;
        }
        pending.wasSent = true;
        pending.sendAgainAt = now + sendAgainAfter;
        actions.append.push_back(pending.item);
    }
    if (!actions.append.empty()) {
        m_isAppendOpen = true;
        m_nextAppend = now + appendEvery;
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
