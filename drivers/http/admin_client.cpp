#include "drivers/http/admin_client.h"

#include "drivers/http/worker_pool.h"

#include <httplib.h>

namespace kumquat {

namespace {

    constexpr std::size_t maxThreads = 32;
    // Applies to the connection attempt and to each read.
    constexpr std::chrono::seconds answerTimeout { 2 };

    result<std::string> fetch(const std::string& address, const std::string& path)
    {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(answerTimeout);
        client.set_read_timeout(answerTimeout);
        const auto answer = client.Get(path);
        if (!answer)
            return error { "node " + address + " did not answer: " + httplib::to_string(answer.error()) };
        if (answer->status != 200)
            return error { "node " + address + " answered with status " + std::to_string(answer->status) };
        return answer->body;
    }

} // namespace

std::vector<result<std::string>> fetchFromNodes(const std::vector<std::string>& addresses, const std::string& path)
{
    std::vector<result<std::string>> answers(addresses.size());
    worker_pool pool(maxThreads);
    for (std::size_t index = 0; index < addresses.size(); ++index)
        pool.submit([&answers, &addresses, &path, index] { answers[index] = fetch(addresses[index], path); });
    pool.shutdown();
    return answers;
}

} // namespace kumquat
