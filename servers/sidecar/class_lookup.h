#pragma once

#include "core/document_index.h"

#include <string>

namespace kumquat {

// Looks up request classes in the configuration document that is in force.
class class_lookup {
public:
    void adopt(document_ptr contents) { m_document = std::move(contents); }
    std::uint64_t generation() const { return m_document ? m_document->generation() : 0; }
    // Returns the class, or null if there is no document or the document does not define it. The fields of the offer apply
    // then.
    const request_class* find(const std::string& className) const { return m_document ? m_document->findClass(className) : nullptr; }

private:
    document_ptr m_document;
};

} // namespace kumquat
