#pragma once

#include "core/caller_error.h"
#include "core/timer_queue.h"
#include "servers/router/cached_part_news.h"
#include "servers/router/completion_times.h"
#include "servers/router/crash_tracker.h"
#include "servers/router/gap_protection.h"
#include "servers/router/knowledge_age.h"
#include "servers/router/limited_admission.h"
#include "servers/router/origin_replicas.h"
#include "servers/router/peer_group.h"
#include "servers/router/placement.h"
#include "servers/router/refusal_store.h"
#include "servers/router/request_progress.h"
#include "servers/router/retry_limiter.h"
#include "servers/router/router_effect.h"
#include "servers/router/router_timer.h"
#include "servers/router/shutdown_plan.h"
#include "servers/router/store_watcher.h"
#include "servers/router/stream_origins.h"
#include "servers/router/urgency_order.h"
#include "servers/router/version_history.h"
#include "servers/router/watch_lag.h"

#include <set>
#include <unordered_map>

namespace kumquat::router {

struct router_options {
    router_settings settings;
    // Differs for each process that runs on the same instance.
    std::uint64_t incarnation = 0;
    // The placement policy for requests to model engines.
    placement_policy enginePlacement = least_prefill {};
};

// Decides what a router does: takes events and returns effects, without any input or output of its own. All state is lost
// with the process. The configuration and the upstream records belong to the store, and a new router is ready only after
// it has read both.
class router_reducer {
public:
    explicit router_reducer(router_options);

    // Processes one event and appends its effects.
    void step(router_event&&, instant now, router_effects&);
    // The time of the next timer, at which router_timer_due has to be passed in, or nothing.
    std::optional<instant> nextDeadline() const;

    // True if the platform may direct new callers to this router.
    bool ready(instant now) const;
    std::size_t requestCount() const { return m_requests.size(); }
    const upstream_table& upstreams() const { return m_upstreams; }
    const shared_config& config() const { return m_config; }
    const peer_group& peers() const { return m_peers; }
    // How old what this router knows from the store is.
    knowledge_age knowledgeAge(knowledge, instant now) const;

private:
    // So many prompt parts fit into a digest that has nothing else to report.
    static constexpr std::size_t maxPartsPerDigest = 26;

    // How an attempt ended that produced no answer for the caller, by whether the upstream may have run the request.
    enum class attempt_end { never_sent,
        not_run,
        may_have_run };

    void on(request_arrived&&);
    void on(caller_left&&);
    void on(caller_evicted&&);
    void on(caller_ready&&);
    void on(answer_started&&);
    void on(answer_continued&&);
    void on(answer_ended&&);
    void on(attempt_aborted&&);
    void on(upstream_unidentified&&);
    void on(connection_checked&&);
    void on(upstreams_read&&);
    void on(config_read&&);
    void on(store_read_progressed&&);
    void on(refusals_listed&&);
    void on(refusal_written&&);
    void on(digest_received&&);
    void on(stream_message_received&&);
    void on(clock_jumped&&);
    void on(process_stalled&&);
    void on(settings_changed&&);
    void on(termination_requested&&);
    void on(router_timer_due&&);
    void onTimer(const timer_key&);

    // Admission of requests.
    void admit(request_progress&&);
    bool awaitsFirstRead() const;
    void queueUntilFirstRead(request_progress&&);
    void admitPending();
    // Finds the route, organisation, service and deadline of a request, or returns why it is refused.
    std::optional<caller_error> classify(request_progress&) const;
    // Why a request is refused that may outlast a planned stop, or nothing.
    std::optional<caller_error> refuseBeforeShutdown(const request_progress&) const;
    // Closes the connections without a request, and stops the router once there is none in progress.
    void closeIdle();
    // Ends every request that is in progress, with an answer if none has begun.
    void giveLastAnswers();
    void giveLastAnswer(request_progress&);
    // Breaks off the streams that are in progress, before the process ends.
    void breakStreams();
    void logCut(const request_progress&);
    // Ends a request of which nothing has been answered: with this error, or as one that may have run.
    void endUnanswered(request_progress&, const caller_error& ifNotRun, const char* outcome);
    bool canServe() const;
    // Whether the configuration is new enough for its keys to be accepted.
    bool keysAreFresh(instant now) const;
    void refuse(caller_id, const std::string& requestId, const caller_error&);

    // Attempts at upstreams.
    // Starts an attempt at the upstream that the policy selects. Returns false if there is none or the time is too short.
    bool dispatch(request_progress&, const char* cause);
    void startAttempt(request_progress&, const placement&, const char* cause);
    // The start that an upstream has to state before it gets a stream, or nothing if its record is enough.
    static std::optional<std::int64_t> requiredStart(const request_progress&, const upstream_state&);
    // Logs that an attempt goes on with a stream which an earlier attempt or request has begun.
    void logResumption(const request_progress&);
    void recordPromptPlacement(upstream_state&, const request_progress&);
    // How much of the prompt cache of an upstream of a service is modelled.
    prompt_cache_bounds promptCacheBounds(const std::string& service) const;
    std::size_t modelledPartsOfUpstream() const;
    void limitPromptCaches();
    // Starts a second attempt at another upstream while the first one has no answer.
    void hedge(request_progress&);
    bool mayRetry(const request_progress&, attempt_end) const;
    // Ends an attempt without an answer: records the failure, and retries the request or answers the caller.
    void failAttempt(request_progress&, attempt_number, attempt_end, const std::string& reason);
    void recordFailure(upstream_state&, attempt_end);
    void releaseLoad(const active_attempt&);
    void removeAttempt(request_progress&, attempt_number);
    // Reports that an attempt has run or may have, once. Requests without an organisation are not counted.
    void recordRun(const request_progress&, active_attempt&, instant startedAt);
    // Cancels an attempt whose answer is of no use, and goes on as after a failed one.
    void abandonAttempt(request_progress&, attempt_number, const std::string& reason);
    void cancelAttempts(request_progress&);
    void cancelOtherAttempts(request_progress&, attempt_number kept);
    request_progress* findByAttempt(attempt_number);
    // Returns null if the request has no such attempt.
    static active_attempt* findAttempt(request_progress&, attempt_number);

    // Streams that callers resume, and the versions at which they go on.
    // Another router that keeps the origin of a stream, or a contact in its data centre who passes messages on to it.
    struct origin_target {
        std::string address;
        bool isContact = false;
    };

    // Identifies a stream by its route, its organisation and the request that brought its first event.
    static std::uint64_t streamKey(const request_progress&);
    // The version at which all streams of a service that may still live have begun, or nothing if that is not certain.
    std::optional<std::uint64_t> onlyVersionOf(const std::string& service) const;
    // Records which versions the services have now.
    void recordVersions();
    void recordRouteChanges(const routing_config& before, const routing_config& after);
    // Whether a route has had other services recently, at which streams may have begun.
    bool hasMoved(const route&) const;
    void updateStreamLifetime();
    // Forgets the history of versions, of which this router may have missed a part.
    void restartVersionHistory();
    std::vector<sole_version> soleVersionReports(std::uint32_t rotation) const;
    void learnSoleVersions(const router_digest&);
    // Marks the streams at an upstream as of an uncertain version, whose record has been replaced by that of another process.
    void distrustVersion(const shared_upstream& replaced);
    // The versionKey of the process that an attempt has reached, or uncertainOrigin.
    std::uint64_t versionOf(const active_attempt&) const;
    // Fixes the version of a stream whose first event has arrived.
    void beginStream(request_progress&, const active_attempt&);
    // Keeps the version of a stream here and at the routers that others ask for it.
    void saveOrigin(request_progress&);
    // Saves the origins of the streams that began when their service had one version alone.
    void saveMissingOrigins();
    void keepOrigin(const stream_origin&);
    // Where the origin of a stream is kept in so many data centres, without this router.
    std::vector<origin_target> originTargets(std::uint64_t stream, std::size_t dataCentres) const;
    // The names of the routers of this data centre that keep the origin of a stream, and the addresses of the others among them.
    std::vector<std::string> replicasOfDataCentre(std::uint64_t stream) const;
    std::vector<std::string> replicaNeighbours(std::uint64_t stream) const;
    bool isReplica(std::uint64_t stream) const;
    void receive(const std::string& address, save_origin&&);
    void receive(const std::string& address, origin_query&&);
    void receive(const std::string& address, origin_answer&&);
    void receive(const std::string& address, dropped_connection&&);
    // Looks up at which version the stream began that a request resumes, and goes on there.
    void resumeEarlier(request_progress&);
    // Decides at which version a stream goes on, from its origin or without it.
    void endLookup(request_progress&, std::optional<std::uint64_t> origin);
    void forgetQueries(const request_progress&);
    std::optional<std::uint64_t> versionWithoutOrigin(const request_progress&) const;
    // Whether the service has upstreams, all of the version.
    bool hasOnly(const std::string& service, std::uint64_t version) const;
    // Whether an upstream of the version is in service.
    bool hasVersion(const std::string& service, std::uint64_t version) const;
    // Sends a request to an upstream of its required version.
    void goOn(request_progress&);
    // Lets a stream wait for an upstream that accepts it within the pause that its route allows, or ends it.
    void awaitResumptionOrFail(request_progress&);
    // How long until an upstream may accept a stream to go on with, or nothing if none will.
    std::optional<duration> timeUntilResumption(const request_progress&) const;
    std::optional<caller_error> describeMissingVersion(const request_progress&) const;

    // Crashes of upstreams.
    // What a crash of an upstream is blamed on if the request was there.
    static std::vector<crash_suspect> suspectsOf(const request_progress&);
    // The ids of the shared parts of a request's prompt, for the log.
    static std::string formatSharedParts(const request_progress&);
    // Why a request is refused as one that crashes upstreams, or nothing.
    std::optional<caller_error> refuseSuspect(const request_progress&) const;
    // Whether a request that has broken off is likely enough to crash upstreams that it is not sent to another one.
    bool mayCrashUpstream(const request_progress&) const;
    // Logs that a request is sent although upstreams have crashed with it.
    void logSuspectedRequest(const request_progress&, const upstream_state&);
    // An attempt has ended without an answer that is surely complete.
    void recordBrokenAttempt(const request_progress&, const active_attempt&);
    broken_attempt describeBroken(const request_progress&, const active_attempt&) const;
    // Blames the attempt if the upstream is known to have crashed at that time, or turns out to have.
    void addBrokenAttempt(upstream_state&, broken_attempt&&);
    // Checks whether the upstream accepts connections, now or when the pause since the last check is over, if it has broken off
    // requests since it last did.
    void checkConnection(const shared_upstream&);
    void checkConnectionAgain(std::uint32_t upstreamKey);
    void recordDroppedConnection(upstream_state&);
    void announceDroppedConnection();
    // The upstream has refused a connection.
    void recordRefusedConnection(upstream_state&);
    // The record of the upstream is gone from the store or is that of another process.
    void recordDisappearance(upstream_state&);
    // The upstream has crashed. What the attempts asked for that broke within the window before is suspected.
    void recordCrash(upstream_state&, duration window);
    // Clears the request's prompt parts once its stream has gone on for a time.
    void noteEvents(request_progress&, active_attempt&);
    void recordSoundAnswer(request_progress&, active_attempt&);
    // Clears the request and its prompt parts.
    void recordCompletion(request_progress&, const active_attempt&);
    void actOnNewRefusals();
    // Calls to the store that keep the refused suspects.
    void callRefusalStore();
    // Returns false if the call is not the one in progress.
    bool endRefusalCall(std::uint64_t call, std::optional<std::uint64_t> era);
    void timeOutRefusalCall();
    void cancelRefusedAttempts();

    // What upstreams state about themselves in their answers.
    void acceptStatements(upstream_state&, const upstream_answer&);
    void acceptRetryAfter(upstream_state&, const upstream_answer&);
    void markLeaving(upstream_state&, const std::string& statedTo);
    std::vector<leaving_upstream> recentLeavingUpstreams();

    // Limits that upstreams name for the requests of all routers together.
    void acceptRateLimit(upstream_state&, const upstream_answer&);
    void recordLimit(upstream_state&, const limit_statement&, statement_source, const std::string& statedTo);
    void applyShare(upstream_state&);
    // Brings the shares of all limits up to date and drops the limits that are over.
    void refreshShares();
    // Whether a request may be started at a limited upstream, or is left to more urgent ones.
    bool admitToLimited(const request_progress&, const placement&);
    // Why no upstream has accepted a request that has not run, and when its caller may come back.
    caller_error describeUnavailability(const request_progress&);
    // The upstreams at which a request may run.
    std::vector<shared_upstream> eligibleUpstreams(const request_progress&) const;
    std::vector<upstream_limit_report> limitReports(digest_scope, std::uint32_t rotation) const;
    void learnLimits(const router_digest&);

    // Answers to callers.
    void onStreamHead(request_progress&, active_attempt&);
    void forwardEvents(request_progress&, active_attempt&, std::string events);
    void onLargeAnswer(request_progress&, attempt_number);
    void startReply(request_progress&, const active_attempt&);
    void completeReply(request_progress&, attempt_number);
    void onCompleteAnswer(request_progress&, attempt_number);
    void onStreamEnd(request_progress&, attempt_number);
    void onTruncatedEvents(request_progress&, attempt_number);
    void dropLargeFailure(caller_id);
    void answerWithFailure(request_progress&);
    void timeOut(request_progress&);
    // Records the end of a request to an engine, and the longest gap of its stream if it is sensitive to gaps.
    void recordGaps(const request_progress&);
    // Logs the end of a request and removes it.
    void finish(request_progress&, int status, const char* outcome);

    // Reads of the store and their outcomes.
    // A read of a watcher, and what was known of the store before its outcome.
    struct read_in_progress {
        instant startedAt;
        // The watcher's last read was answered.
        bool followsAnswer = false;
        // The store had confirmed the configuration lately.
        bool storeWasAnswering = false;
    };

    void readUpstreams();
    void readConfig();
    void startRead(store_kind, const store_read_request&);
    void applyUpstreams(store_update<upstream_record>&&);
    void removeUnlisted(const std::unordered_set<std::string>& listedNames);
    void applyConfig(store_update<shared_config>&&);
    void removeUpstream(const std::string& id, const char* cause);
    void onRecordRemoved(const std::string& id);
    void removeExpiredUpstreams();
    // Abandons the read of that kind that is in progress, if there is one.
    void cancelRead(store_kind);
    void updateStoreHealth(const std::string& failure, const read_in_progress&);

    // Confirmations that what was read from the store is still the newest.
    void confirmConfig();
    void acceptConfirmation(config_read&&);
    // Compares the upstream records that were read with the revision that the store has.
    void confirmRecords(std::uint64_t storeRevision);
    // Replaces the watch of the upstream records, whose answer may be lost, by a check of what has changed.
    void checkRecords();
    // Cancels the watches that were started before the time, and starts them again.
    void renewWatches(instant startedBefore);
    // Whether the store has confirmed the configuration lately, to this router or to another one.
    bool storeIsAnswering() const;
    // Notices that the store answers again after a time without any confirmation.
    void detectStoreReturn();
    // Logs that a check has found so many changes.
    void reportMissedChanges(std::size_t count);
    // When the store last confirmed the configuration in force to this router itself, and to any router.
    std::optional<instant> ownConfirmedAt() const;
    std::optional<instant> configConfirmedAt() const;
    // The latest time at which the store is known to have had no upstream record that is newer than those of this router.
    std::optional<instant> recordsConfirmedAt() const;

    // Limits on the age of what was read.
    // Checks the upstream records if nothing has confirmed them for too long.
    void checkOutdatedRecords();
    // Logs when knowledge has become outdated, and when it has been confirmed again.
    void reportFreshness();

    // Restores of the store from an older copy.
    // Follows the era that an answer of the store names. Returns false if the answer can't be used, because it is of another
    // era than the reads before it.
    bool followEra(std::optional<std::uint64_t> era);
    void enterEra(std::uint64_t era);
    // Reads the store again if another router has seen a newer era.
    void checkPeerEra(std::uint64_t reported);
    // Adds the era of the store to a revision that it gave out.
    store_position positionOf(std::uint64_t revision) const { return { m_storeEra.value_or(0), revision }; }
    // False if the store is known to have lost a configuration that is newer than the one in force.
    bool configIsNewest() const;

    // Exchange of digests with the other routers.
    void setPeerGroup();
    void exchangeDigests();
    router_digest makeDigest();
    // Sends the summary of this data centre to the others, if this router is its aggregator.
    void sendSummary();
    router_digest makeSummary();
    void addStoreState(router_digest&) const;
    std::vector<outstanding_load> ownLoads() const;
    void learnFromDigest(const router_digest&);
    // Answers a router of another data centre that looks for others, and keeps its address.
    void introduce(const digest_received&);
    void detectStaleWatch();
    // How far this router has read the store.
    read_positions readPositions() const;
    duration recordBatchDelay() const;
    retry_limiter_options retryOptions() const;

    template <typename Effect>
    void emit(Effect&& effect) { m_effects->emplace_back(std::forward<Effect>(effect)); }
    void log(log_level, const char* name, std::vector<std::pair<std::string, std::string>> fields);
    void setTimer(timer_kind kind, std::uint64_t id, instant deadline) { m_timers.set({ kind, id }, deadline); }

    router_options m_options;
    retry_limiter m_retryLimiter;
    // By service.
    std::unordered_map<std::string, limited_admission> m_limitedAdmissions;
    upstream_table m_upstreams;
    peer_group m_peers;
    router_census m_census;
    crash_tracker m_crashes;
    refusal_store m_refusalStore;
    // The call to the store about refused suspects that is in progress, or 0.
    std::uint64_t m_refusalCall = 0;
    version_history m_versionHistory;
    stream_origins m_origins;
    // The callers whose requests wait for the answers to queries.
    std::unordered_map<std::uint64_t, caller_id> m_originQueries;
    // No stream of the configuration in force lives longer, over all requests of its caller.
    duration m_streamLifetime {};
    // When the services of routes have changed, by the host and path prefix of the route.
    std::unordered_map<std::string, instant> m_routesMovedAt;
    // The connection checks that are in progress.
    std::unordered_map<std::uint64_t, shared_upstream> m_connectionChecks;
    // When the neighbours were last told that an upstream had dropped a connection.
    std::optional<instant> m_dropReportedAt;
    // Prompt parts that were sent to upstreams since the last digest.
    cached_part_news m_recentCachedParts { maxPartsPerDigest };
    // Prompt parts of all routers of this data centre since the last summary, if this router is the aggregator.
    cached_part_news m_summaryCachedParts { maxPartsPerDigest };
    // Select the slices of the next digest and the next summary.
    std::uint32_t m_digestSlice = 0;
    std::uint32_t m_summarySlice = 0;
    instant m_summarySentAt;
    // Consecutive digests and summaries without load.
    int m_idleDigests = 0;
    int m_idleSummaries = 0;
    // Upstreams that have stated to this router that they are leaving, with the time until which digests tell so.
    std::vector<std::pair<leaving_upstream, instant>> m_leavingUpstreams;
    std::uint64_t m_digestSequence = 0;
    instant m_digestSentAt;
    // The newest position of an upstream record that was read.
    store_position m_newestRecordPosition;
    watch_lag m_watchLag;
    // Separate reads of the configuration, which confirm that it is still the newest one.
    struct {
        // 0 if no read is in progress.
        std::uint64_t read = 0;
        instant startedAt;
        instant notBefore;
        std::optional<instant> confirmedAt;
        // The last read has failed.
        bool hasFailed = false;
    } m_confirmation;
    // What storeIsAnswering() was when it was last looked at.
    bool m_storeIsAnswering = false;
    // The kinds of knowledge that were last reported as outdated.
    std::set<knowledge> m_outdated;
    // A read has failed since which the store has not been known to answer.
    bool m_storeIsLost = true;
    shared_config m_config;
    urgency_order m_urgencies;
    gap_protection m_gapProtection;
    // The newest position at which the configuration was read, and the version there. After a restore of the store the
    // version may be older than the one in force.
    store_position m_configPosition;
    std::uint64_t m_storedConfigVersion = 0;
    // The era in which the configuration in force was read.
    std::uint64_t m_configEra = 0;
    // The era that the store's answers named, or nothing while none has.
    std::optional<std::uint64_t> m_storeEra;
    // The newest era that other routers have reported.
    std::uint64_t m_reportedEra = 0;
    // The last confirmation of the configuration before the store was restored.
    std::optional<instant> m_confirmedBeforeRestore;
    store_watcher<upstream_record> m_upstreamWatcher;
    store_watcher<shared_config> m_configWatcher;
    // The reads that are in progress, or 0.
    std::uint64_t m_upstreamRead = 0;
    std::uint64_t m_configRead = 0;
    // The upstream records have been listed once.
    bool m_upstreamsListed = false;
    // When the store first answered again after its last silence or failure.
    instant m_storeHealthySince;
    // Present once the process has been asked to stop.
    std::optional<shutdown_plan> m_shutdown;
    completion_times m_completionTimes;
    instant m_now;
    router_effects* m_effects = nullptr;
    timer_queue<timer_key> m_timers;
    std::unordered_map<caller_id, request_progress> m_requests;
    // Requests that arrived before the first reads of the store were complete, in the order of their arrival.
    std::vector<request_progress> m_pendingRequests;
    std::optional<instant> m_startedAt;
    // The callers of the active attempts.
    std::unordered_map<attempt_number, caller_id> m_attemptCallers;
    // The last number that was given to an attempt or a read.
    std::uint64_t m_lastId = 0;
};

} // namespace kumquat::router
