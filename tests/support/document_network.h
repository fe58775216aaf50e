#pragma once

#include "servers/config/document_manager.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace kumquat_test {

// Creates a document whose canonical text is its name, so that tests need no JSON.
inline kumquat::versioned_document_ptr namedDocument(std::uint64_t generation, const std::string& name, std::uint64_t hash)
{
    kumquat::document contents;
    contents.generation = generation;
    auto versioned = std::make_shared<kumquat::versioned_document>();
    versioned->version = { generation, hash };
    versioned->contents = std::make_shared<const kumquat::document_index>(contents);
    versioned->text = name;
    versioned->submissionId = "submission-" + name;
    return versioned;
}

// Simulates nodes with their document managers, the links between them and the store, in virtual time. Messages arrive
// after one millisecond.
class document_network {
public:
    struct node {
        explicit node(kumquat::document_manager_options options)
            : manager(std::move(options))
        {
        }

        kumquat::document_manager manager;
        std::string dataCentre;
        bool isEntry = true;
        bool alive = true;
        bool reachesStore = true;
        bool watches = false;
        std::uint64_t lastStoreVersionRead = ~0ULL;
        // Every version that was in force on this node, in order of adoption.
        std::vector<kumquat::document_version> adopted;
        std::size_t bytesReceived = 0;
        std::size_t fullDocumentsReceived = 0;
    };

    static std::string addressOf(const std::string& id) { return "tcp://" + id; }

    node& add(const std::string& id, const std::string& dataCentre, bool isEntry, std::vector<std::string> bootstrap = {})
    {
        kumquat::document_manager_options options;
        options.self = { id, addressOf(id), 1 };
        options.dataCentre = dataCentre;
        options.mayWatch = isEntry;
        options.bootstrapPeers = std::move(bootstrap);
        auto& newNode = *m_nodes.insert_or_assign(id, std::make_unique<node>(options)).first->second;
        newNode.dataCentre = dataCentre;
        newNode.isEntry = isEntry;
        return newNode;
    }

    node& at(const std::string& id) { return *m_nodes.at(id); }
    std::map<std::string, std::unique_ptr<node>>& nodes() { return m_nodes; }
    kumquat::instant now() const { return m_now; }

    // Passes the list of all nodes to every live entry. Stopped nodes are included, since the platform removes them from
    // its list only after a delay.
    void announceInstances()
    {
        std::vector<kumquat::instance> instances;
        for (const auto& [id, item] : m_nodes)
            instances.push_back({ .id = id, .role = item->isEntry ? "entry" : "sidecar", .dataCentre = item->dataCentre, .address = addressOf(id) });
        for (auto& [id, item] : m_nodes) {
            if (item->isEntry && item->alive)
                step(id, kumquat::document_peers_listed { instances });
        }
    }

    void store(const kumquat::versioned_document_ptr& document)
    {
        storeDocument = document;
        storeVersion++;
        documentsByText[document->text] = document;
    }

    void step(const std::string& id, const kumquat::document_event& event)
    {
        auto& target = at(id);
        if (!target.alive)
            return;
        kumquat::document_effects effects;
        target.manager.step(event, m_now, effects);
        for (auto& effect : effects)
            execute(id, target, effect);
    }

    // Advances the time in steps of a millisecond. Once a second every entry exchanges versions with every sidecar.
    void run(std::chrono::milliseconds span)
    {
        for (auto remaining = span; remaining.count() > 0; remaining--)
            tick();
    }

    bool inForceEverywhere(const kumquat::document_version& version) const
    {
        for (const auto& [id, item] : m_nodes) {
            if (item->alive && item->manager.version() != version)
                return false;
        }
        return true;
    }

    bool neverReverted() const
    {
        for (const auto& [id, item] : m_nodes) {
            for (std::size_t index = 1; index < item->adopted.size(); ++index) {
                if (item->adopted[index] <= item->adopted[index - 1])
                    return false;
            }
        }
        return true;
    }

    std::size_t watchers() const
    {
        std::size_t count = 0;
        for (const auto& [id, item] : m_nodes)
            count += item->alive && item->watches;
        return count;
    }

    kumquat::versioned_document_ptr storeDocument;
    std::uint64_t storeVersion = 0;
    bool storeDown = false;
    std::size_t storeReads = 0;
    std::size_t storeWrites = 0;
    // Documents by text. Assembling a document is a look-up in this map.
    std::map<std::string, kumquat::versioned_document_ptr> documentsByText;
    // Pairs of nodes whose link is cut, in both directions.
    std::set<std::pair<std::string, std::string>> cutLinks;

private:
    static constexpr std::size_t requestBytes = 80;

    struct network_message {
        std::string from;
        std::string to;
        kumquat::peer_message message;
    };

    bool isCut(const std::string& left, const std::string& right) const { return cutLinks.contains({ left, right }) || cutLinks.contains({ right, left }); }

    void execute(const std::string& id, node& self, kumquat::document_effect& effect)
    {
        if (auto* send = std::get_if<kumquat::send_document_message>(&effect))
            m_messages.push_back({ id, send->address.substr(addressOf("").size()), std::move(send->message) });
        else if (const auto* adopt = std::get_if<kumquat::adopt_document>(&effect))
            self.adopted.push_back(adopt->document->version);
        else if (const auto* watch = std::get_if<kumquat::watch_store>(&effect))
            self.watches = watch->enabled;
        else if (const auto* job = std::get_if<kumquat::assemble_document>(&effect))
            m_finishedJobs.emplace_back(id, assemble(*job));
        else if (const auto* stepJob = std::get_if<kumquat::compute_step>(&effect))
            m_finishedJobs.emplace_back(id, kumquat::step_computed { { stepJob->from->version, stepJob->to->version, stepJob->to->text } });
        else if (const auto* repair = std::get_if<kumquat::repair_store>(&effect))
            write(self, *repair);
    }

    kumquat::document_event assemble(const kumquat::assemble_document& job) const
    {
        if (job.base && job.steps.front().from != job.base->version)
            return kumquat::document_rejected { "a step does not continue the base" };
        const auto found = documentsByText.find(job.base ? job.steps.back().patch : job.fullText);
        if (found == documentsByText.end() || found->second->version != job.announcedVersion)
            return kumquat::document_rejected { "unknown text" };
        return kumquat::document_loaded { found->second, job.steps };
    }

    void write(const node& self, const kumquat::repair_store& repair)
    {
        if (storeDown || !self.reachesStore || repair.storeVersion != storeVersion)
            return;
        storeWrites++;
        storeDocument = repair.document;
        storeVersion++;
    }

    void tick()
    {
        m_now += std::chrono::milliseconds(1);
        auto messages = std::move(m_messages);
        m_messages.clear();
        for (auto& item : messages)
            deliver(item);
        auto finishedJobs = std::move(m_finishedJobs);
        m_finishedJobs.clear();
        for (const auto& [id, event] : finishedJobs)
            step(id, event);
        for (auto& [id, item] : m_nodes)
            readStore(id, *item);
        for (auto& [id, item] : m_nodes) {
            const auto due = item->manager.nextDeadline();
            if (due && *due <= m_now)
                step(id, kumquat::document_timer_due {});
        }
        if (++m_ticks % 1000 == 0)
            exchangeVersions();
    }

    void deliver(network_message& item)
    {
        const auto found = m_nodes.find(item.to);
        if (found == m_nodes.end() || !found->second->alive || isCut(item.from, item.to))
            return;
        auto& target = *found->second;
        target.bytesReceived += requestBytes;
        if (const auto* full = std::get_if<kumquat::full_document>(&item.message)) {
            target.bytesReceived += full->text.size();
            target.fullDocumentsReceived++;
        }
        if (const auto* request = std::get_if<kumquat::document_request>(&item.message))
            step(item.to, *request);
        else if (const auto* difference = std::get_if<kumquat::document_difference>(&item.message))
            step(item.to, *difference);
        else if (const auto* full = std::get_if<kumquat::full_document>(&item.message))
            step(item.to, *full);
    }

    void readStore(const std::string& id, node& item)
    {
        if (!item.alive || !item.watches || storeDown || !item.reachesStore || item.lastStoreVersionRead == storeVersion)
            return;
        storeReads++;
        item.lastStoreVersionRead = storeVersion;
        step(id, kumquat::store_document_read { storeDocument, storeVersion });
    }

    void exchangeVersions()
    {
        for (const auto& [entryId, entry] : m_nodes) {
            if (!entry->isEntry || !entry->alive)
                continue;
            for (const auto& [sidecarId, sidecar] : m_nodes) {
                if (sidecar->isEntry || !sidecar->alive || isCut(entryId, sidecarId))
                    continue;
                step(sidecarId, kumquat::peer_version_seen { { entryId, addressOf(entryId), 1 }, entry->manager.version() });
                step(entryId, kumquat::peer_version_seen { { sidecarId, addressOf(sidecarId), 1 }, sidecar->manager.version() });
            }
        }
    }

    kumquat::instant m_now { std::chrono::hours(1) };
    std::uint64_t m_ticks = 0;
    std::map<std::string, std::unique_ptr<node>> m_nodes;
    std::vector<network_message> m_messages;
    std::vector<std::pair<std::string, kumquat::document_event>> m_finishedJobs;
};

} // namespace kumquat_test
