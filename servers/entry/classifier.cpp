#include "servers/entry/classifier.h"

namespace kumquat {

namespace {

    constexpr std::string_view servicesPrefix = "/services/";

    using outcome = std::variant<classification, caller_error>;

    caller_error rejection(error_code code, std::string message)
    {
        return { .code = code, .message = std::move(message), .ran = ran_state::no };
    }

    outcome findPlainTarget(const document_index& document, const caller_request& request, classification result)
    {
        const auto rest = request.path.substr(servicesPrefix.size());
        const auto slash = rest.find('/');
        const auto name = rest.substr(0, slash);
        result.target = document.findService(name);
        if (!result.target || result.target->kind != service_kind::plain)
            return rejection(error_code::unknown_service, "plain service '" + name + "' does not exist");
        result.upstreamPath = slash == std::string::npos ? "/" : rest.substr(slash);
        return result;
    }

    outcome findEngineTarget(const document_index& document, const caller_request& request, classification result)
    {
        if (const auto* failure = errorOf(request.completion))
            return rejection(error_code::malformed_request, failure->message);
        const auto& model = valueOf(request.completion).model;
        result.target = document.findServiceByModel(model);
        if (!result.target)
            return rejection(error_code::unknown_model, "model '" + model + "' is served by no service");
        result.upstreamPath = request.path;
        return result;
    }

    outcome findTarget(const document_index& document, const caller_request& request, classification result)
    {
        if (request.path.starts_with(servicesPrefix))
            return findPlainTarget(document, request, std::move(result));
        return findEngineTarget(document, request, std::move(result));
    }

} // namespace

std::variant<classification, caller_error> classify(const document_index& document, const caller_request& request)
{
    classification result;
    if (request.keyDigest.empty())
        return rejection(error_code::unauthenticated, "the request carries no 'Authorization: Bearer' key");
    result.caller = document.findOrganisationByKeyDigest(request.keyDigest);
    if (!result.caller)
        return rejection(error_code::unauthenticated, "the bearer key belongs to no organisation");
    auto target = findTarget(document, request, result);
    if (std::holds_alternative<caller_error>(target))
        return target;
    result = std::get<classification>(std::move(target));
    if (request.className.empty()) {
        result.requestClass = document.classByRule(result.caller->name, result.target->name, result.upstreamPath);
        if (!result.requestClass)
            return rejection(error_code::unknown_class, "the request names no class and no rule assigns one");
        return result;
    }
    result.requestClass = document.findClass(request.className);
    if (!result.requestClass)
        return rejection(error_code::unknown_class, "class '" + request.className + "' does not exist");
    return result;
}

} // namespace kumquat
