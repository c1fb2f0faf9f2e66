// Test fixture: one caller's connection on an event loop that the test runs step by step.
#pragma once

#include "tests/nodefixture.h"
#include "traffic/callerconnection.h"

namespace galenafold
{

/// One caller's connection, without a thread: the test decides in which order input and responses are handled.
struct OneCaller {
    OneCaller()
    {
        asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        caller.connect(acceptor.local_endpoint());
        hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &, CallerRequest &&request) {
            targets.push_back(request.head.target);
            bodies.push_back(request.body);
        };
        hooks.onClosed = [](const std::shared_ptr<CallerConnection> &) {};
        hooks.onRejected = [this](int status, const char *) { rejected.push_back(status); };
        hooks.limits = [] { return CallerLimits(); };
        hooks.isDraining = [] { return false; };
        connection = std::make_shared<CallerConnection>(io, acceptor.accept(), hooks);
        connection->start();
    }
    ~OneCaller()
    {
        connection->abortResponse();
        poll(); // releases the connection, which its pending reads keep alive
    }
    OneCaller(const OneCaller &) = delete;
    OneCaller &operator=(const OneCaller &) = delete;
    void send(const std::string &bytes) { asio::write(caller, asio::buffer(bytes)); }
    /// Handles all that is ready.
    void poll()
    {
        io.restart();
        while (io.poll() > 0) { }
    }

    asio::io_context io;
    asio::ip::tcp::socket caller{io};
    CallerConnectionHooks hooks;
    std::shared_ptr<CallerConnection> connection;
    std::vector<std::string> targets; // of the requests that were read
    std::vector<std::string> bodies;
    std::vector<int> rejected;
};

} // namespace galenafold
