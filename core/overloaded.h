#pragma once

namespace kumquat {

// Combines lambdas into one visitor for std::visit.
template <typename... Callables>
struct overloaded : Callables... {
    using Callables::operator()...;
};

template <typename... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace kumquat
