#include "servers/entry/classifier.h"

namespace kumquat {

namespace {

    constexpr std::string_view servicesPrefix = "/services/";

    using outcome = std::variant<classification, caller_error>;

    caller_error rejection(error_code code, std::string message)
    {
        return { .code = code, .message = std::move(message), .ran = ran_state::no };
    }

    outcome findPlainTarget(const document_index& document, const caller_request& request, classification found)
    {
        const auto rest = request.path.substr(servicesPrefix.size());
        const auto slash = rest.find('/');
        const auto name = rest.substr(0, slash);
        found.target = document.findService(name);
        if (!found.target || found.target->kind != service_kind::plain)
            return rejection(error_code::unknown_service, "plain service '" + name + "' does not exist");
        found.upstreamPath = slash == std::string::npos ? "/" : rest.substr(slash);
        return found;
    }

    outcome findEngineTarget(const document_index& document, const caller_request& request, classification found)
    {
        if (const auto* failure = errorOf(request.completion))
            return rejection(error_code::malformed_request, failure->message);
        const auto& model = valueOf(request.completion).model;
        found.target = document.findServiceByModel(model);
        if (!found.target)
            return rejection(error_code::unknown_model, "model '" + model + "' is served by no service");
        found.upstreamPath = request.path;
        return found;
    }

    outcome findTarget(const document_index& document, const caller_request& request, classification found)
    {
        if (request.path.starts_with(servicesPrefix))
            return findPlainTarget(document, request, std::move(found));
        return findEngineTarget(document, request, std::move(found));
    }

} // namespace

std::variant<classification, caller_error> classify(const document_index& document, const caller_request& request)
{
    classification found;
    if (request.keyDigest.empty())
        return rejection(error_code::unauthenticated, "the request carries no 'Authorization: Bearer' key");
    found.caller = document.findOrganisationByKeyDigest(request.keyDigest);
    if (!found.caller)
        return rejection(error_code::unauthenticated, "the bearer key belongs to no organisation");
    auto target = findTarget(document, request, found);
    if (std::holds_alternative<caller_error>(target))
        return target;
    found = std::get<classification>(std::move(target));
    if (request.className.empty()) {
        found.requestClass = document.classByRule(found.caller->name, found.target->name, found.upstreamPath);
        if (!found.requestClass)
            return rejection(error_code::unknown_class, "the request names no class and no rule assigns one");
        return found;
    }
    found.requestClass = document.findClass(request.className);
    if (!found.requestClass)
        return rejection(error_code::unknown_class, "class '" + request.className + "' does not exist");
    return found;
}

} // namespace kumquat
