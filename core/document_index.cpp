#include "core/document_index.h"

namespace kumquat {

namespace {

    template <typename Value>
    const Value* find(const std::unordered_map<std::string, const Value*>& index, const std::string& name)
    {
        const auto found = index.find(name);
        return found == index.end() ? nullptr : found->second;
    }

    bool matches(const std::string& matcher, const std::string& value)
    {
        return matcher.empty() || matcher == value;
    }

} // namespace

document_index::document_index(document contents)
    : m_document(std::move(contents))
{
    for (const auto& entry : m_document.classes)
        m_classes.emplace(entry.name, &entry);
    for (const auto& entry : m_document.services) {
        m_services.emplace(entry.name, &entry);
        for (const auto& model : entry.models)
            m_servicesByModel.emplace(model, &entry);
    }
    for (const auto& entry : m_document.organisations) {
        m_organisations.emplace(entry.name, &entry);
        for (const auto& digest : entry.keyDigests)
            m_organisationsByKey.emplace(digest, &entry);
    }
}

const request_class* document_index::findClass(const std::string& name) const
{
    return find(m_classes, name);
}

const service* document_index::findService(const std::string& name) const
{
    return find(m_services, name);
}

const service* document_index::findServiceByModel(const std::string& model) const
{
    return find(m_servicesByModel, model);
}

const organisation* document_index::findOrganisation(const std::string& name) const
{
    return find(m_organisations, name);
}

const organisation* document_index::findOrganisationByKeyDigest(const std::string& digest) const
{
    return find(m_organisationsByKey, digest);
}

const request_class* document_index::classByRule(const std::string& organisation, const std::string& service, const std::string& path) const
{
    for (const auto& rule : m_document.rules) {
        const bool applies = matches(rule.organisation, organisation) && matches(rule.service, service) && path.starts_with(rule.pathPrefix);
        if (applies)
            return findClass(rule.className);
    }
    return nullptr;
}

} // namespace kumquat
