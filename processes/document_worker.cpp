#include "processes/document_worker.h"

#include "drivers/json/document_text.h"

namespace kumquat {

namespace {

    document_event assembleDocument(const assemble_document& job)
    {
        auto opened = job.base ? applyDocumentSteps(*job.base, job.steps) : openCanonicalDocument(job.fullText);
        if (const auto* failure = errorOf(opened))
            return document_rejected { failure->message };
        if (valueOf(opened)->version != job.announcedVersion)
            return document_rejected { "a peer's document is not the announced generation " + std::to_string(job.announcedVersion.generation) };
        return document_loaded { std::move(valueOf(opened)), job.steps };
    }

} // namespace

document_worker::document_worker(std::function<void(document_event)> onDone)
    : m_onDone(std::move(onDone))
    , m_pool(1)
{
}

document_worker::~document_worker()
{
    m_pool.shutdown();
}

void document_worker::assemble(const assemble_document& job)
{
    m_pool.submit([this, job] { m_onDone(assembleDocument(job)); });
}

void document_worker::computeStep(const compute_step& job)
{
    m_pool.submit([this, job] { m_onDone(step_computed { makeDocumentStep(*job.from, *job.to) }); });
}

} // namespace kumquat
