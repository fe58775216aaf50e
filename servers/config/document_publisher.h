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

// Publishes one document by a conditional update of the store's object, and says only what is proven of the outcome.
class document_publisher {
public:
    struct options {
        std::string submissionId;
        std::string operatorName;
        // Generation that the operator's document was made from; absent for "whatever is in force now".
        std::optional<std::uint64_t> baseGeneration;
        // Whether nodes are known; their greatest generation must then be learned before anything is written.
        bool hasNodes = false;
        std::chrono::milliseconds storeLimit { 10000 };
        std::chrono::milliseconds retryInterval { 300 };
        // Time for which the publisher follows the spread after acceptance.
        std::chrono::milliseconds followLimit { 5000 };
        std::size_t historyLength = 32;
    };

    explicit document_publisher(options);

    // Applies one event and appends what has to be done about it.
    void step(const publisher_event&, instant now, publisher_effects&);

    // Returns when the next publisher_timer_due event is wanted, or nothing.
    std::optional<instant> nextDeadline() const { return m_nextStep; }

private:
    enum class phase { asking_generation,
        reading_base,
        writing,
        resolving,
        checking_nodes,
        following,
        ended };

    void handle(const publication_requested&);
    void handle(const publication_read&);
    void handle(const publication_read_failed&);
    void handle(const publication_written&);
    void handle(const publication_refused&);
    void handle(const publication_write_lost&);
    void handle(const nodes_answered&);
    void handle(const publisher_timer_due&);

    void prepare(const stored_publication&);
    void write();
    void resolve(const stored_publication&);
    // Returns the submission that took this one's generation on top of the same base, which proves the loss.
    std::optional<submission> findWinner(const stored_publication&) const;
    void follow();
    void judgeSpread(const nodes_answered&);
    void retryLater();
    void end(publication_outcome);
    std::uint64_t generation() const { return m_own.generation; }

    options m_options;
    phase m_phase = phase::asking_generation;
    instant m_storeDeadline;
    instant m_followDeadline;
    std::optional<instant> m_nextStep;
    std::uint64_t m_greatestOnNodes = 0;
    std::string m_greatestNode;
    stored_publication m_base;
    submission m_own;
    // Whether a write without an answer may still take effect.
    bool m_lostWrite = false;
    // Whether the last read showed the version that the write depends on.
    bool m_baseUnchanged = false;
    std::string m_lastProblem;
    std::optional<submission> m_winner;

    // Valid during step() only.
    instant m_now;
    publisher_effects* m_effects = nullptr;
};

} // namespace kumquat
