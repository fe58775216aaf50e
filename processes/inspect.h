#pragma once

#include <chrono>
#include <future>
#include <memory>

namespace kumquat {

constexpr std::chrono::seconds inspectTimeout { 2 };

// Evaluates a query of a reducer's state on the thread of its loop, between two events, and waits for the result.
// Returns a default-constructed result when the loop does not run the query within inspectTimeout, so that an
// operator's request does not block forever on a stopped loop.
template <typename Loop, typename Query>
auto inspect(Loop& loop, Query query)
{
    using reducer = typename Loop::reducer_type;
    using query_result = decltype(query(std::declval<const reducer&>()));
    auto promise = std::make_shared<std::promise<query_result>>();
    auto future = promise->get_future();
    loop.inspect([promise, query](const reducer& state) { promise->set_value(query(state)); });
    if (future.wait_for(inspectTimeout) != std::future_status::ready)
        return query_result {};
    return future.get();
}

} // namespace kumquat
