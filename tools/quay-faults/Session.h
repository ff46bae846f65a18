#pragma once

#include "quay-faults/Route.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <vector>

namespace quay::faults {

/** One proxied connection: a socket to the caller, one to the target and a channel for each direction. */
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Route> route, boost::asio::ip::tcp::socket caller);

    /** Connects to the target and starts forwarding; closes with a TCP reset if that fails. */
    void start();
    /** Closes both sides with a TCP reset. */
    void reset();
    /** Delivers the chunks that are due; called after the faults of the route have changed. */
    void resume();

private:
    struct Chunk {
        Instant due; // earliest time of delivery
        std::vector<char> bytes; // empty: end of the stream
    };

    struct Channel {
        Direction direction;
        boost::asio::ip::tcp::socket& source;
        boost::asio::ip::tcp::socket& sink;
        boost::asio::steady_timer timer;
        std::vector<char> buffer;
        std::deque<Chunk> chunks;
        std::size_t bufferedBytes = 0;
        Instant lastDue {};
        bool isReading = false;
        bool isWriting = false;
        bool hasSourceEnded = false;
        bool hasSinkEnded = false;
    };

    void read(Channel& channel);
    void onRead(Channel& channel, std::size_t size);
    void enqueue(Channel& channel, std::vector<char> bytes);
    void deliver(Channel& channel);
    void write(Channel& channel);
    void closeSink(Channel& channel);
    bool shouldDiscard(std::size_t size);

    std::shared_ptr<Route> m_route;
    boost::asio::ip::tcp::socket m_caller;
    boost::asio::ip::tcp::socket m_server;
    Channel m_requestChannel;
    Channel m_responseChannel;
    bool m_isClosed = false;
    bool m_hasAnswerBegun = false; // the response to the latest request has begun
    bool m_isLosingAnswer = false;
};

} // namespace quay::faults
