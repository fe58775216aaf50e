#pragma once

#include "core/document.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace kumquat {

// Answers look-ups in one immutable document in constant time.
class document_index {
public:
    explicit document_index(document);

    const document& contents() const { return m_document; }
    std::uint64_t generation() const { return m_document.generation; }

    // Each look-up returns null when the name is unknown.
    const request_class* findClass(const std::string& name) const;
    const service* findService(const std::string& name) const;
    const service* findServiceByModel(const std::string& model) const;
    const organisation* findOrganisation(const std::string& name) const;
    const organisation* findOrganisationByKeyDigest(const std::string& digest) const;

    // Returns the class that the rules assign, or null when no rule matches.
    const request_class* classByRule(const std::string& organisation, const std::string& service, const std::string& path) const;

private:
    document m_document;
    std::unordered_map<std::string, const request_class*> m_classes;
    std::unordered_map<std::string, const service*> m_services;
    std::unordered_map<std::string, const service*> m_servicesByModel;
    std::unordered_map<std::string, const organisation*> m_organisations;
    std::unordered_map<std::string, const organisation*> m_organisationsByKey;
};

using document_ptr = std::shared_ptr<const document_index>;

} // namespace kumquat
