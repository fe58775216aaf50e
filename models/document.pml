/*
 * Models the publication and propagation of the document with two publishers, two nodes and the object API. Names are those
 * of servers/config/document_publisher and servers/config/document_manager.
 *
 * A submission is identified by its number, which also represents the hash of its document; submission 0 is in the store at
 * the beginning. The object API responds to a write, or the response is lost, or the write takes effect after a delay. The
 * store may be restored once to its first state, with the version number of that state.
 *
 * Checked: a node never returns to a smaller version; a publication has a greater generation than every one that its publisher
 * received from a node; no publication and no repair removes a later publication from the store; the outcome accepted is
 * correct, and the outcome conflict (not accepted) is correct and stays so unless the store was restored during the
 * publication; without a restore each generation has one document.
 *
 * variants: NO_RESTORE
 * mutants: ADOPT_SMALLER ADOPT_EQUAL_GENERATION UNCONDITIONAL_WRITE CONFLICT_WITHOUT_READ_BACK CONFLICT_BEFORE_VERSION_MOVED IGNORE_NODES REPAIR_BLINDLY IGNORE_REPAIR
 */

#define PUBLISHERS 2
#define SUBMISSIONS 3
#define NODES 2

mtype = { querying_generation, writing, resolving, reported_accepted, reported_conflict, reported_unknown };

/* The store's object: its version, the greatest version so far, and the submission that it contains. */
byte storeVersion = 1;
byte lastVersion = 1;
byte storeLatest;
/* Generation of the submission that a node last wrote back in a repair. */
byte lastRepair;

/* Generation and base of each submission, and whether it took effect. The history of a submission is the chain of its bases. */
byte generation[SUBMISSIONS];
byte base[SUBMISSIONS];
bool tookEffect[SUBMISSIONS];

mtype phase[SUBMISSIONS] = querying_generation;
byte expectedVersion[SUBMISSIONS];
/* Whether a write got no response. */
bool writeUnanswered[SUBMISSIONS];
/* Number of delayed writes that may still take effect. */
byte delayedWrites[SUBMISSIONS];
/* Whether the store was restored, and whether that happened during the publication. */
bool restored;
bool restoredMeanwhile[SUBMISSIONS];

/* The submission that each node has in force. */
byte inForce[NODES];

#define GREATER(left, right) (generation[left] > generation[right] || (generation[left] == generation[right] && left > right))

/* Executes a conditional write: it takes effect only when the object still has the expected version. */
inline applyWrite(s, takesEffect)
{
    takesEffect = false;
    if
    :: storeVersion == expectedVersion[s] -> takesEffect = true
#ifdef UNCONDITIONAL_WRITE
    :: storeVersion != expectedVersion[s] -> takesEffect = true
#else
    :: else
#endif
    fi;
    if
    :: takesEffect ->
        assert(restored || base[s] == storeLatest);
        assert(phase[s] != reported_conflict || restoredMeanwhile[s]);
        lastVersion++;
        storeVersion = lastVersion;
        storeLatest = s;
        tookEffect[s] = true
    :: else
    fi
}

/* Whether no repair can have replaced the publication after it took effect. */
#ifdef IGNORE_REPAIR
#define NOT_REPLACED_BY_REPAIR true
#else
#define NOT_REPLACED_BY_REPAIR (lastRepair < generation[s])
#endif

/* Whether the store's history contains the submission. A history has at most three submissions. */
#define IN_HISTORY(s) (storeLatest == s || base[storeLatest] == s || base[base[storeLatest]] == s)

active [PUBLISHERS] proctype publisher()
{
    byte s = _pid + 1;
    byte other = 3 - s;
    byte nodeGeneration;
    bool takesEffect;

    /* At least one node responds with its generation. */
    atomic {
        if
        :: nodeGeneration = generation[inForce[0]]
        :: nodeGeneration = generation[inForce[1]]
        :: nodeGeneration = (generation[inForce[0]] > generation[inForce[1]] -> generation[inForce[0]] : generation[inForce[1]])
        fi;
    }
    atomic {
        expectedVersion[s] = storeVersion;
        base[s] = storeLatest;
#ifdef IGNORE_NODES
        generation[s] = generation[storeLatest] + 1;
#else
        generation[s] = (generation[storeLatest] > nodeGeneration -> generation[storeLatest] : nodeGeneration) + 1;
#endif
        assert(generation[s] > nodeGeneration);
        phase[s] = writing;
    }
    do
    :: phase[s] == writing ->
        atomic {
            if
            :: /* the response arrives */
                applyWrite(s, takesEffect);
                if
                :: takesEffect -> phase[s] = reported_accepted
                :: else -> phase[s] = resolving
                fi
            :: /* the write takes effect or is refused, and the response is lost */
                applyWrite(s, takesEffect);
                writeUnanswered[s] = true;
                phase[s] = resolving
            :: /* the write is delayed and gets no response */
                delayedWrites[s] < 1 ->
                delayedWrites[s]++;
                writeUnanswered[s] = true;
                phase[s] = resolving
            fi;
#ifdef CONFLICT_WITHOUT_READ_BACK
            if
            :: phase[s] == resolving && writeUnanswered[s] -> phase[s] = reported_conflict
            :: else
            fi;
#endif
        }
    :: phase[s] == resolving ->
        atomic {
            if
            :: IN_HISTORY(s) -> phase[s] = reported_accepted
            :: !IN_HISTORY(s) && storeVersion == expectedVersion[s] && storeLatest == base[s] ->
#ifdef CONFLICT_BEFORE_VERSION_MOVED
                phase[s] = reported_conflict
#else
                if
                :: phase[s] = writing
                :: phase[s] = reported_unknown
                fi
#endif
            :: !IN_HISTORY(s) && !(storeVersion == expectedVersion[s] && storeLatest == base[s]) ->
                if
                :: !writeUnanswered[s] -> phase[s] = reported_conflict
                :: writeUnanswered[s] && IN_HISTORY(other) && phase[other] != querying_generation && generation[other] == generation[s] && NOT_REPLACED_BY_REPAIR && base[other] == base[s] ->
                    /* checking_nodes: a node may have adopted the publication */
                    if
                    :: inForce[0] == s || inForce[1] == s -> phase[s] = reported_accepted
                    :: else -> phase[s] = reported_conflict
                    fi
                :: else -> phase[s] = reported_unknown
                fi
            fi;
            assert(phase[s] != reported_conflict || !tookEffect[s] || restoredMeanwhile[s]);
        }
    :: phase[s] == reported_accepted -> assert(tookEffect[s]); break
    :: phase[s] == reported_conflict -> assert(!tookEffect[s] || restoredMeanwhile[s]); break
    :: phase[s] == reported_unknown -> break
    od
}

/* Executes delayed writes whose publisher no longer waits for a response. */
active proctype network()
{
    byte s;
    bool takesEffect;
    do
    :: atomic { delayedWrites[1] > 0 -> s = 1; delayedWrites[s]--; applyWrite(s, takesEffect) }
    :: atomic { delayedWrites[2] > 0 -> s = 2; delayedWrites[s]--; applyWrite(s, takesEffect) }
    od
}

#ifndef NO_RESTORE
active proctype backup()
{
    atomic {
        restored = true;
        storeVersion = 1;
        storeLatest = 0;
        lastRepair = 0;
        /* A publication that has not read the store yet is not affected. */
        restoredMeanwhile[1] = (phase[1] != querying_generation);
        restoredMeanwhile[2] = (phase[2] != querying_generation);
    }
}
#endif

inline adopt(n, s)
{
    if
    :: GREATER(s, inForce[n]) ->
        inForce[n] = s;
        assert(restored || inForce[1 - n] == inForce[n] || generation[inForce[1 - n]] != generation[inForce[n]])
#ifdef ADOPT_SMALLER
    :: !GREATER(s, inForce[n]) && s != inForce[n] -> assert(GREATER(s, inForce[n])); inForce[n] = s
#endif
#ifdef ADOPT_EQUAL_GENERATION
    :: generation[s] == generation[inForce[n]] && s != inForce[n] -> assert(GREATER(s, inForce[n])); inForce[n] = s
#endif
    :: else
    fi
}

active [NODES] proctype manager()
{
    byte n = _pid - PUBLISHERS - 1; /* the pids follow those of the publishers and the network */
    byte seen;
    byte seenVersion;
#ifndef NO_RESTORE
    n = n - 1;
#endif
    do
    :: /* store_document_read: the watch returns the document, which is assembled and adopted later */
        atomic { seen = storeLatest; seenVersion = storeVersion }
        atomic {
            adopt(n, seen);
            if
            :: GREATER(inForce[n], seen) ->
                /* repair_store */
                if
#ifdef REPAIR_BLINDLY
                :: storeVersion != seenVersion ->
                    assert(GREATER(inForce[n], storeLatest));
                    lastVersion++;
                    storeVersion = lastVersion;
                    storeLatest = inForce[n];
                    lastRepair = generation[inForce[n]]
#endif
                :: storeVersion == seenVersion && lastVersion < 7 ->
                    assert(GREATER(inForce[n], storeLatest));
                    lastVersion++;
                    storeVersion = lastVersion;
                    storeLatest = inForce[n];
                    lastRepair = generation[inForce[n]]
                :: else
                fi
            :: else
            fi
        }
    :: /* document_difference or full_document from the other node */
        atomic { adopt(n, inForce[1 - n]) }
    od
}
