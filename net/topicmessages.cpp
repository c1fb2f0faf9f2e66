// Serialisation of the questions and answers about topics, in Cap'n Proto.
#include "net/topicmessages.h"

#include "net/gzip.h"
#include "wire/topics.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/io.h>

namespace galenafold
{

constexpr std::uint32_t longestWaitMillis = 10000; // a longer wait of another process is cut
constexpr std::size_t maxAnswerBytes = 32 << 20;   // unpacked; ten times the listing of 10,000 replicas

static capnp::Data::Reader data(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

static std::string textOf(capnp::Data::Reader bytes)
{
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

static std::string serialised(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writeMessage(out, message);
    return textOf(out.getArray());
}

/// Reads the messages of another process, one after the other. @return false if the bytes are no such messages
template<typename Root, typename Read>
static bool readMessages(const std::string &bytes, Read read)
{
    const auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(data(bytes));
        do {
            capnp::InputStreamMessageReader reader(in);
            read(reader.getRoot<Root>());
        } while (in.tryGetReadBuffer().size() > 0);
    });
    return failure == nullptr;
}

static std::int64_t millisOf(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string encodeTopicQuestion(const TopicQuestion &question)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::TopicQuestion>();
    root.setTopic(static_cast<std::uint8_t>(question.topic));
    root.setHasEra(question.era.has_value());
    root.setEra(question.era.value_or(0));
    root.setHasFrom(question.from.has_value());
    root.setFrom(question.from.value_or(0));
    root.setWaitMillis(static_cast<std::uint32_t>(millisOf(question.wait)));
    return serialised(message);
}

std::optional<TopicQuestion> decodeTopicQuestion(const std::string &bytes)
{
    TopicQuestion question;
    bool isKnownTopic = false;
    const bool isReadable = readMessages<wire::TopicQuestion>(bytes, [&](wire::TopicQuestion::Reader root) {
        isKnownTopic = root.getTopic() <= static_cast<std::uint8_t>(StoreTopic::Places);
        question.topic = static_cast<StoreTopic>(root.getTopic());
        if (root.getHasEra()) {
            question.era = root.getEra();
        }
        if (root.getHasFrom()) {
            question.from = root.getFrom();
        }
        question.wait = std::chrono::milliseconds(std::min(root.getWaitMillis(), longestWaitMillis));
    });
    return isReadable && isKnownTopic ? std::optional(question) : std::nullopt;
}

static void fillRecords(wire::TopicAnswer::Builder root, const std::vector<KeyedRecord> &records)
{
    auto list = root.initRecords(static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setKey(data(records[i].key));
        list[i].setValue(data(records[i].value));
        list[i].setOffset(records[i].position.offset);
    }
}

std::string encodeTopicAnswer(const TopicAnswer &answer)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::TopicAnswer>();
    root.setIsKnown(answer.isKnown);
    root.setIsListing(answer.isListing);
    root.setIsStoreLost(answer.isStoreLost);
    root.setIsTooLarge(answer.isTooLarge);
    root.setHasEra(answer.era.has_value());
    root.setEra(answer.era.value_or(0));
    root.setEnd(answer.end);
    root.setProvedMicros(answer.provedAfter.count());
    root.setReturnedMillis(
        static_cast<std::uint32_t>(millisOf(std::min<Duration>(answer.sinceReturned, longestReturn))));
    if (!answer.packedRecords.empty()) {
        return gzip(serialised(message)) + answer.packedRecords;
    }
    fillRecords(root, answer.records);
    return serialised(message);
}

/// The records are a message of their own, which follows that of the answer.
std::string packTopicRecords(const std::vector<KeyedRecord> &records)
{
    capnp::MallocMessageBuilder message;
    fillRecords(message.initRoot<wire::TopicAnswer>(), records);
    return gzip(serialised(message));
}

std::optional<TopicAnswer> decodeTopicAnswer(const std::string &bytes, bool isGzip)
{
    const auto text = isGzip ? gunzip(bytes, maxAnswerBytes) : std::optional(bytes);
    TopicAnswer answer;
    bool isFirst = true;
    const auto readHead = [&answer](wire::TopicAnswer::Reader root) {
        answer.isKnown = root.getIsKnown();
        answer.isListing = root.getIsListing();
        answer.isStoreLost = root.getIsStoreLost();
        answer.isTooLarge = root.getIsTooLarge();
        if (root.getHasEra()) {
            answer.era = root.getEra();
        }
        answer.end = root.getEnd();
        answer.provedAfter = Duration(root.getProvedMicros());
        answer.sinceReturned = std::chrono::milliseconds(root.getReturnedMillis());
    };
    const bool isReadable =
        text && readMessages<wire::TopicAnswer>(*text, [&](wire::TopicAnswer::Reader root) {
            if (isFirst) {
                readHead(root);
            }
            isFirst = false;
            for (const auto record : root.getRecords()) {
                answer.records.push_back({textOf(record.getKey()), textOf(record.getValue()), {record.getOffset()}});
            }
        });
    return isReadable ? std::optional(answer) : std::nullopt;
}

} // namespace galenafold
