// Serialisation of the questions and answers about topics, in Cap'n Proto.
#include "net/topicmessages.h"

#include "wire/topics.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/io.h>

namespace galenafold
{

constexpr std::uint32_t longestWaitMillis = 10000; // a longer wait of another process is cut

static capnp::Data::Reader data(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

static std::string text(capnp::Data::Reader bytes)
{
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

static std::string serialised(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writeMessage(out, message);
    return text(out.getArray());
}

/// Reads a message of another process. @return false if the bytes are no such message
template<typename Root, typename Read>
static bool readMessage(const std::string &bytes, Read read)
{
    const auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(data(bytes));
        capnp::InputStreamMessageReader reader(in);
        read(reader.getRoot<Root>());
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
    const bool isReadable = readMessage<wire::TopicQuestion>(bytes, [&](wire::TopicQuestion::Reader root) {
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
    auto records = root.initRecords(static_cast<unsigned>(answer.records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        records[i].setKey(data(answer.records[i].key));
        records[i].setValue(data(answer.records[i].value));
        records[i].setOffset(answer.records[i].offset);
    }
    return serialised(message);
}

std::optional<TopicAnswer> decodeTopicAnswer(const std::string &bytes)
{
    TopicAnswer answer;
    const bool isReadable = readMessage<wire::TopicAnswer>(bytes, [&answer](wire::TopicAnswer::Reader root) {
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
        for (const auto record : root.getRecords()) {
            answer.records.push_back({text(record.getKey()), text(record.getValue()), record.getOffset()});
        }
    });
    return isReadable ? std::optional(answer) : std::nullopt;
}

} // namespace galenafold
