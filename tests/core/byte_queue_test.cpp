#include "core/byte_queue.h"

#include <catch2/catch.hpp>
#include <random>

using namespace kumquat;

TEST_CASE("a byte queue holds what was appended and not removed, in order and in at most four times its memory", "[byte-queue]")
{
    constexpr std::size_t smallBytes = 64;
    std::mt19937 random(7);
    byte_queue queue;
    std::string expected;
    for (int step = 0; step < 20000; ++step) {
        if (random() % 3 == 0) {
            const std::string piece(random() % 400, static_cast<char>('a' + random() % 26));
            queue.tail().append(piece);
            expected += piece;
        } else {
            const auto count = random() % 300;
            queue.removeFront(count);
            expected.erase(0, count);
        }
        REQUIRE(queue.view() == expected);
        REQUIRE(queue.empty() == expected.empty());
        REQUIRE(queue.capacity() <= 4 * expected.size() + smallBytes);
    }
    queue.clear();
    CHECK(queue.empty());
}

TEST_CASE("bytes that stay in a byte queue are moved a few times in all while it is emptied in small pieces", "[byte-queue]")
{
    byte_queue queue;
    queue.tail().assign(1'000'000, 'x');
    int moves = 0;
    for (const auto* place = queue.view().data(); !queue.empty(); place = queue.view().data()) {
        queue.removeFront(10);
        if (!queue.empty() && queue.view().data() != place + 10)
            ++moves;
    }
    // Each move halves the queue.
    CHECK(moves <= 20);
}
