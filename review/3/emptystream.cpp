// Case 3: a replica answers a stream with neither a length nor chunks and breaks off inside the first event. Compares
// what the caller gets with what the replica has sent.
#include "review/testbed.h"

#include <iostream>

namespace galenafold
{

constexpr int requests = 10;
constexpr int timeoutMs = 12000;                         // of the route, and the caller's time budget
constexpr auto readTimeout = std::chrono::seconds(12);   // of a caller
constexpr auto stepTime = std::chrono::milliseconds(50); // between the head, the events and the end
constexpr const char *firstEvent = "id: 1\ndata: token\n\n";
constexpr const char *lastEvent = "id: 2\ndata: end\n\n";
constexpr std::size_t partBytes = 11; // of the first event

static std::string streamHead(const ReplicaRequest &request)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    appendField(head, "X-Galenafold-Attempt-Id", request.field("X-Galenafold-Attempt-Id"));
    appendField(head, "X-Galenafold-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
    appendField(head, "Content-Type", "text/event-stream");
    appendField(head, "Connection", "close");
    return head + "\r\n";
}

/// The replica's process ends inside the first event: its kernel closes the connection.
static void answerStream(const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
{
    reply->send(streamHead(request));
    reply->runAfter(stepTime, [reply] {
        const std::string event = firstEvent;
        reply->send(hasTrouble() ? event.substr(0, partBytes) : event + lastEvent);
        reply->runAfter(stepTime, [reply] { reply->closeGracefully(); });
    });
}

static int run(const std::string &recordPath)
{
    Record record(recordPath);
    Testbed testbed;
    testbed.addReplica("i-assist-1", "assist", answerStream);
    const bool isStarted =
        record.isOpen() && testbed.start({{"listing", "streaming", "assist", timeoutMs, 800, 1, 300}});
    if (!isStarted) {
        return exitNotRun;
    }
    const std::string whole = std::string(firstEvent) + lastEvent;
    int broken = 0;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "listing-" + std::to_string(i);
        Caller caller(testbed.router().callerPort());
        caller.send(callerRequest("POST", "/listing/x", id, timeoutMs, "{}"));
        const CallerResponse response = caller.read(clockNow() + readTimeout);
        const bool isSuccess = response.end == ResponseEnd::Complete && response.head.status / 100 == 2;
        const bool isWhole = response.body == whole;
        const std::string *seal =
            response.hasHead ? findField(response.head.fields, "X-Galenafold-Response-Seal") : nullptr;
        broken += isSuccess && !isWhole ? 1 : 0;
        record.note(id + ": " + (response.hasHead ? std::to_string(response.head.status) : "no head")
                    + (response.end == ResponseEnd::Complete ? ", complete" : ", broken off") + ", digest "
                    + (seal ? *seal : "none") + ", body of " + std::to_string(response.body.size()) + " bytes");
    }
    record.note("complete successes whose body is not the replica's whole body: " + std::to_string(broken) + " of "
                + std::to_string(requests));
    record.note(broken > 0 ? "MIXED is broken" : "MIXED held");
    return broken > 0 ? exitBroken : exitHeld;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return galenafold::exitNotRun;
    }
    return galenafold::run(argv[1]);
}
