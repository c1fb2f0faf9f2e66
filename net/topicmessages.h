// What routers of one data centre ask each other about a topic of the store.
//
// Load pattern: a router must know how old the state is that another one tells, while questions and answers may wait on
// the way, either VM may be suspended at any point, and no two clocks agree. The asked router states when its state was
// known to be the newest, counted from the arrival of the question. The asker counts from the moment at which it sent
// the question, which was not later: so what it takes for the age is never too small, however long the answer took.
#pragma once

#include "control/storetopics.h"

namespace galenafold
{

struct TopicQuestion {
    StoreTopic topic = StoreTopic::DesiredState;
    std::optional<StoreEra> era;   // the newest that the asker knows of; nothing: nobody has told it yet
    std::optional<LogOffset> from; // the asker knows the topic up to here, in that era; nothing: it wants all records
    Duration wait{};               // the answer may wait so long for news
    bool acceptsGzip = false;      // told by a field of the HTTP request
};

struct TopicAnswer {
    bool isKnown = false;        // otherwise the asked router has not read the topic yet
    bool isListing = false;      // all records, not only changes
    bool isStoreLost = false;    // the asked router gets no answer of the store
    bool isTooLarge = false;     // the records are left out: its link is too narrow to send them to all in time
    std::optional<StoreEra> era; // of all that the answer tells
    LogOffset end = 0;
    Duration provedAfter{}; // from the question's arrival to the last proof that the topic ends there; may be negative
    Duration sinceReturned{}; // since the store came back after it had been lost, `longestReturn` at most
    std::vector<KeyedRecord> records;
    std::string packedRecords; // in place of `records`, as `packTopicRecords` returns them; "": not packed
};

constexpr auto longestReturn = std::chrono::minutes(1); // older returns of the store matter to nobody

std::string encodeTopicQuestion(const TopicQuestion &question); ///< @return the body of a request

/// @return the body of a response; if the records are packed, in gzip
std::string encodeTopicAnswer(const TopicAnswer &answer);

/// Many followers ask for the same records, which are packed once for all of them.
std::string packTopicRecords(const std::vector<KeyedRecord> &records);

/// @return nothing if the bytes, which may come from anyone, are no question
std::optional<TopicQuestion> decodeTopicQuestion(const std::string &bytes);

/// @param isGzip as the response's field tells @return nothing if the bytes are no answer
std::optional<TopicAnswer> decodeTopicAnswer(const std::string &bytes, bool isGzip = false);

} // namespace galenafold
