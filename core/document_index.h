#pragma once

#include "core/document.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace kumquat {

// Immutable document with indexes that answer look-ups by name, model or key in constant time.
class document_index {
public:
    explicit document_index(document);

    const document& contents() const { return m_document; }
    std::uint64_t generation() const { return m_document.generation; }

    // Each look-up returns null when the document has no such entry.
    const request_class* findClass(const std::string& name) const;
    const service* findService(const std::string& name) const;
    const service* findServiceByModel(const std::string& model) const;
    const organisation* findOrganisation(const std::string& name) const;
    const organisation* findOrganisationByKeyDigest(const std::string& digest) const;

    // Returns the class that the first matching rule assigns, or null when no rule matches or the class does not exist.
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
