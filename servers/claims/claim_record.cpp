#include "servers/claims/claim_record.h"

#include "core/overloaded.h"

namespace kumquat {

namespace {

    // Field names, punctuation and numbers of one record.
    constexpr std::size_t recordOverheadBytes = 200;

} // namespace

const std::string& keyOf(const claim_record& record)
{
    return std::visit([](const auto& concrete) -> const std::string& { return concrete.key; }, record);
}

std::size_t sizeOf(const claim_record& record)
{
    const auto visitor = overloaded {
        [](const claim_made& made) { return made.key.size() + 2 * made.requestId.size() + made.service.size(); },
        [](const claim_finished& finished) { return finished.key.size() + finished.requestId.size() + 2 * finished.answer.text.size(); },
        [](const claim_released& released) { return released.key.size() + released.requestId.size(); },
    };
    return recordOverheadBytes + std::visit(visitor, record);
}

} // namespace kumquat
