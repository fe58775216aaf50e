#pragma once

#include "core/clock.h"
#include "servers/config/publisher_effect.h"
#include "servers/config/publisher_event.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Publishes one document by a conditional update of the store's object. It reports an outcome only when it is proven, and
// publication_unknown otherwise.
class document_publisher {
public:
    struct options {
        std::string submissionId;
        std::string operatorName;
        // Generation that the operator's document is based on; empty to publish on top of the document in force.
        std::optional<std::uint64_t> baseGeneration;
        // Whether the settings name nodes. Their greatest generation must then be read before anything is written.
        bool hasNodes = false;
        // Time after which no read or write of the store is retried.
        std::chrono::milliseconds storeTimeout { 10000 };
        std::chrono::milliseconds retryInterval { 300 };
        // Maximum time after acceptance for which the publisher waits until every node has adopted the document.
        std::chrono::milliseconds propagationTimeout { 5000 };
        // Maximum number of submissions in the history that is stored with the document.
        std::size_t historyLength = 32;
    };

    explicit document_publisher(options);

    // Applies one event and appends the effects that the caller has to execute.
    void step(const publisher_event&, instant now, publisher_effects&);

    // Returns when the next publisher_timer_due event is needed, or nothing.
    std::optional<instant> nextDeadline() const { return m_nextDeadline; }

private:
    // What the publisher does at present.
    enum class phase { querying_generation,
        reading_base,
        writing,
        // A write was refused or unanswered, and the store is read to find its outcome.
        resolving,
        // The store shows a conflict, and the nodes are checked for this publication.
        checking_nodes,
        awaiting_propagation,
        ended };

    void handle(const publication_requested&);
    void handle(const publication_read&);
    void handle(const publication_read_failed&);
    void handle(const publication_written&);
    void handle(const publication_refused&);
    void handle(const publication_write_unanswered&);
    void handle(const nodes_answered&);
    void handle(const publisher_timer_due&);

    void prepare(const stored_publication&);
    void write();
    void resolve(const stored_publication&);
    // Returns the submission that the store accepted with the generation and on the base of this publication, which proves
    // that this publication was not accepted. Returns nothing when the store's history does not prove it.
    std::optional<submission> findConflictingSubmission(const stored_publication&) const;
    void awaitPropagation();
    void checkPropagation(const nodes_answered&);
    void retryLater();
    void end(publication_outcome);
    std::uint64_t generation() const { return m_submission.generation; }

    options m_options;
    phase m_phase = phase::querying_generation;
    instant m_storeDeadline;
    instant m_propagationDeadline;
    std::optional<instant> m_nextDeadline;
    // Greatest generation that a node has in force, and that node.
    std::uint64_t m_maxNodeGeneration = 0;
    std::string m_maxGenerationNode;
    // State of the store that the conditional write expects.
    stored_publication m_base;
    // The submission that is being published.
    submission m_submission;
    // Whether a write got no answer and may still take effect.
    bool m_hasUnansweredWrite = false;
    // Whether the last read showed the object version that the conditional write expects.
    bool m_baseUnchanged = false;
    std::string m_lastError;
    std::optional<submission> m_conflictingSubmission;

    // Valid during step() only.
    instant m_now;
    publisher_effects* m_effects = nullptr;
};

} // namespace kumquat
