#pragma once

#include "core/document_index.h"

#include <string>

namespace kumquat {

// Looks up what the document in force says of a class.
class class_terms_source {
public:
    void adopt(document_ptr contents) { m_document = std::move(contents); }
    std::uint64_t generation() const { return m_document ? m_document->generation() : 0; }
    // Returns null while the class is unknown here; the offer's own fields apply then.
    const request_class* find(const std::string& className) const { return m_document ? m_document->findClass(className) : nullptr; }

private:
    document_ptr m_document;
};

} // namespace kumquat
