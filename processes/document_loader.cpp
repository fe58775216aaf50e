#include "processes/document_loader.h"

#include "drivers/json/document_text.h"
#include "processes/file_reader.h"

namespace kumquat {

result<versioned_document_ptr> loadDocument(const std::string& path)
{
    const auto text = readFile(path);
    if (const auto* failure = errorOf(text))
        return *failure;
    return openPublishedDocument("document '" + path + "'", valueOf(text));
}

} // namespace kumquat
