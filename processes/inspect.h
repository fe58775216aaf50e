#pragma once

#include <chrono>
#include <future>
#include <memory>

namespace kumquat {

constexpr std::chrono::seconds inspectTimeout { 2 };

// Asks a reducer a question between two of its events and waits for the answer. Returns an empty value when the loop
// does not answer in time, so that an operator's request never hangs on a stopped loop.
template <typename Loop, typename Question>
auto inspect(Loop& loop, Question question)
{
    using reducer = typename Loop::reducer_type;
    using answer = decltype(question(std::declval<const reducer&>()));
    auto promised = std::make_shared<std::promise<answer>>();
    auto future = promised->get_future();
    loop.inspect([promised, question](const reducer& state) { promised->set_value(question(state)); });
    if (future.wait_for(inspectTimeout) != std::future_status::ready)
        return answer {};
    return future.get();
}

} // namespace kumquat
