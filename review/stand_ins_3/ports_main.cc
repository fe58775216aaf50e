// Prints so many ports of the loopback interface that are free for TCP at present.

#include "stand_in.hpp"

#include <iostream>

int main(int argumentCount, char** arguments)
{
    const int count = argumentCount > 1 ? std::atoi(arguments[1]) : 1;
    std::vector<int> sockets;
    for (int number = 0; number < count; ++number) {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = stand_in::addressOf("127.0.0.1", 0);
        socklen_t size = sizeof address;
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            return stand_in::exitNotRun;
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        std::cout << ntohs(address.sin_port) << (number + 1 < count ? " " : "\n");
        sockets.push_back(socket);
    }
    return 0;
}
