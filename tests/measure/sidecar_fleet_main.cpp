// Simulates many sidecars, to measure one entry: it listens at the address of every sidecar with one socket and sends the
// report of each sidecar to the entry at a fixed interval.

#include "drivers/json/peer_codec.h"
#include "drivers/openssl/message_authenticator.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <string>
#include <thread>

namespace {

using namespace kumquat;

constexpr std::uint32_t tiersPerReport = 4;
constexpr std::uint32_t tierLoad = 5;

report makeReport(const std::string& id, const std::string& address, const std::string& service, std::uint64_t generation)
{
    report message;
    message.from = { id, address, 1 };
    message.service = service;
    message.dataCentre = "east-legon";
    message.generation = generation;
    message.slots = 32;
    message.freeSlots = 12;
    message.tokensPerSecond = 38.5;
    for (std::uint32_t rank = 0; rank < tiersPerReport; ++rank)
        message.tiers.push_back({ rank, tierLoad, tierLoad, 4000 });
    return message;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 6) {
        std::cerr << "usage: measure-sidecar-fleet ENTRY_ADDRESS FIRST_PORT COUNT SERVICES INTERVAL_MS [NETWORK_KEY]\n";
        return 2;
    }
    const std::string entry = arguments[1];
    const int firstPort = std::atoi(arguments[2]);
    const int count = std::atoi(arguments[3]);
    const int services = std::atoi(arguments[4]);
    const std::chrono::milliseconds interval(std::atoi(arguments[5]));
    message_authenticator authenticator(argumentCount > 6 ? arguments[6] : "");
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    nng_socket dialer = NNG_SOCKET_INITIALIZER;
    nng_pull0_open(&listener);
    nng_push0_open(&dialer);
    for (int index = 0; index < count; ++index) {
        const auto address = "tcp://127.0.0.1:" + std::to_string(firstPort + index);
        if (const int failure = nng_listen(listener, address.c_str(), nullptr, 0); failure != 0) {
            std::cerr << "cannot listen at " << address << ": " << nng_strerror(failure) << "\n";
            return 1;
        }
    }
    std::thread receiver([listener] {
        void* data = nullptr;
        std::size_t size = 0;
        while (nng_recv(listener, &data, &size, NNG_FLAG_ALLOC) == 0)
            nng_free(data, size);
    });
    nng_dial(dialer, entry.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    while (true) {
        for (int index = 0; index < count; ++index) {
            const auto address = "tcp://127.0.0.1:" + std::to_string(firstPort + index);
            const auto message = makeReport("fleet-" + std::to_string(index), address, "service-" + std::to_string(index % services), 1);
            auto bytes = authenticator.sign(encodePeerMessage(message), entry);
            nng_send(dialer, bytes.data(), bytes.size(), 0);
        }
        std::this_thread::sleep_for(interval);
    }
}
