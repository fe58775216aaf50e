#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat::router {

// In how many data centres, and by how many routers of each, the origin of a stream is kept.
constexpr std::size_t replicaDataCentres = 2;
constexpr std::size_t replicasPerDataCentre = 2;
// In how many data centres it is looked up. One more than it is kept in, since routers may disagree about which ones live.
constexpr std::size_t queriedDataCentres = replicaDataCentres + 1;

// Returns those of the names that come first for a stream by rendezvous hashing. All routers choose the same ones from equal names.
std::vector<std::string> chooseReplicas(std::uint64_t stream, std::vector<std::string> names, std::size_t count);

} // namespace kumquat::router
