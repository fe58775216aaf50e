#pragma once

namespace kumquat {

// How many draws of a simulation a test plays. Under sanitizers, which look for errors of memory and slow it down many times, a tenth;
// the release build judges all of them.
constexpr unsigned playedDraws(unsigned draws)
{
#ifdef __SANITIZE_ADDRESS__
    return (draws + 9) / 10;
#else
    return draws;
#endif
}

} // namespace kumquat
