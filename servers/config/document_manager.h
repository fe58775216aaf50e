#pragma once

#include "core/clock.h"
#include "servers/config/document_effect.h"
#include "servers/config/document_event.h"
#include "servers/config/document_manager_options.h"
#include "servers/config/step_journal.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Manages the document in force on one node. It adopts only documents of a greater version, which it receives from the
// store (on the few nodes that watch it) or from peers, and it sends newer documents to peers that are behind. The entry
// reducer and the sidecar reducer contain one each.
class document_manager {
public:
    explicit document_manager(document_manager_options);

    // Applies one event and appends the effects that the caller has to execute.
    void step(const document_event&, instant now, document_effects&);

    // Returns when the next document_timer_due event is needed, or nothing.
    std::optional<instant> nextDeadline() const;

    // Returns the version of the document in force; the default version when there is no document.
    document_version version() const;
    // Returns the document in force, or null.
    const versioned_document_ptr& documentInForce() const { return m_documentInForce; }
    // Returns whether this node watches the store.
    bool watching() const { return m_isWatcher; }

private:
    // A document_request that was sent to a peer and has not been answered.
    struct pending_request {
        std::string peer;
        instant expiresAt;
    };

    void handle(const document_loaded&);
    void handle(const document_rejected&);
    void handle(const store_document_read&);
    void handle(const step_computed&);
    void handle(const peer_version_seen&);
    void handle(const document_request&);
    void handle(const document_difference&);
    void handle(const full_document&);
    void handle(const document_peers_listed&);
    void handle(const document_timer_due&);

    void adopt(const versioned_document_ptr&);
    void assemble(assemble_document);
    void requestDocumentFrom(const peer_identity&);
    void sendUpdateTo(const peer_identity&, const document_version& peerVersion);
    void pushStep(const document_step&);
    void recordContact(const std::string& peer);
    void updateWatcherRole();
    void pollWatcher();
    void requestFromBootstrapPeer();
    void suspectUnresponsiveWatcher();
    void repairStore();
    std::set<std::string> suspects() const;
    std::vector<instance> pushTargets() const;
    void send(const std::string& address, peer_message);
    void log(log_level, std::string name, std::vector<std::pair<std::string, std::string>> fields);

    document_manager_options m_options;
    versioned_document_ptr m_documentInForce;
    step_journal m_journal;
    // Entries of all data centres.
    std::vector<instance> m_entries;
    // Entries of this data centre that are elected to watch the store.
    std::vector<instance> m_watchers;
    bool m_isWatcher = false;
    // Whether an assemble_document effect has not been answered.
    bool m_assembling = false;
    std::optional<pending_request> m_pendingRequest;
    std::optional<pending_request> m_pendingPoll;
    std::optional<instant> m_nextPoll;
    std::size_t m_pollCount = 0;
    std::size_t m_bootstrapCount = 0;
    // Watchers that did not answer a poll, and the time until which they are excluded from the election.
    std::map<std::string, instant> m_suspectedUntil;
    // Version of the store's object; set while its document is older than the one in force.
    std::optional<std::uint64_t> m_staleStoreVersion;
    std::optional<instant> m_nextRepair;

    // Valid during step() only.
    instant m_now;
    document_effects* m_effects = nullptr;
};

} // namespace kumquat
