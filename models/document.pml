/*
 * Publishing and spread of the document: two publishers, two nodes, the object API. Names are those of
 * servers/config/document_publisher and servers/config/document_keeper.
 *
 * A submission is known by its number, which also stands for the hash of its document; submission 0 is in the store at
 * the beginning. A write is answered, its answer is lost, or it lands late. Once, the store may be restored to its
 * first state, under the version number of that state.
 *
 * Checked: a node never returns to a smaller version; a publication goes above every generation that its publisher heard
 * of; no publication and no repair removes a later publication from the store; accepted is true, and a conflict (not accepted)
 * is true then and ever after unless the store was restored during the publication; without a restore one generation
 * has one document.
 *
 * variants: NO_RESTORE
 * mutants: ADOPT_SMALLER ADOPT_EQUAL_GENERATION UNCONDITIONAL_WRITE CONFLICT_WITHOUT_READ_BACK CONFLICT_BEFORE_VERSION_MOVED IGNORE_NODES REPAIR_BLINDLY IGNORE_REPAIR
 */

#define PUBLISHERS 2
#define SUBMISSIONS 3
#define NODES 2

mtype = { asking_generation, writing, resolving, told_accepted, told_conflict, told_unknown };

/* The store's object. */
byte storeVersion = 1;
byte lastVersion = 1;
byte storeLatest;
/* Greatest generation that a node wrote back. */
byte lastRepair;

/* The history of a submission is the chain of its bases. */
byte generation[SUBMISSIONS];
byte base[SUBMISSIONS];
bool landed[SUBMISSIONS];

mtype phase[SUBMISSIONS] = asking_generation;
byte expectedVersion[SUBMISSIONS];
bool lostWrite[SUBMISSIONS];
/* Copies of the write that may still take effect. */
byte lateWrites[SUBMISSIONS];
bool restored;
bool restoredMeanwhile[SUBMISSIONS];

byte inForce[NODES];

#define GREATER(left, right) (generation[left] > generation[right] || (generation[left] == generation[right] && left > right))

/* Takes effect only when the object still has the expected version. */
inline applyWrite(s, effective)
{
    effective = false;
    if
    :: storeVersion == expectedVersion[s] -> effective = true
#ifdef UNCONDITIONAL_WRITE
    :: storeVersion != expectedVersion[s] -> effective = true
#else
    :: else
#endif
    fi;
    if
    :: effective ->
        assert(restored || base[s] == storeLatest);
        assert(phase[s] != told_conflict || restoredMeanwhile[s]);
        lastVersion++;
        storeVersion = lastVersion;
        storeLatest = s;
        landed[s] = true
    :: else
    fi
}

/* A repair may have displaced the publication after it took effect. */
#ifdef IGNORE_REPAIR
#define REPAIR_SEEN true
#else
#define REPAIR_SEEN (lastRepair < generation[s])
#endif

/* Whether the store's history contains the submission. Chains have at most three members. */
#define IN_HISTORY(s) (storeLatest == s || base[storeLatest] == s || base[base[storeLatest]] == s)

active [PUBLISHERS] proctype publisher()
{
    byte s = _pid + 1;
    byte other = 3 - s;
    byte heard;
    bool effective;

    /* At least one node answers. */
    atomic {
        if
        :: heard = generation[inForce[0]]
        :: heard = generation[inForce[1]]
        :: heard = (generation[inForce[0]] > generation[inForce[1]] -> generation[inForce[0]] : generation[inForce[1]])
        fi;
    }
    atomic {
        expectedVersion[s] = storeVersion;
        base[s] = storeLatest;
#ifdef IGNORE_NODES
        generation[s] = generation[storeLatest] + 1;
#else
        generation[s] = (generation[storeLatest] > heard -> generation[storeLatest] : heard) + 1;
#endif
        assert(generation[s] > heard);
        phase[s] = writing;
    }
    do
    :: phase[s] == writing ->
        atomic {
            if
            :: /* answered */
                applyWrite(s, effective);
                if
                :: effective -> phase[s] = told_accepted
                :: else -> phase[s] = resolving
                fi
            :: /* the answer is lost */
                applyWrite(s, effective);
                lostWrite[s] = true;
                phase[s] = resolving
            :: /* the write may land late */
                lateWrites[s] < 1 ->
                lateWrites[s]++;
                lostWrite[s] = true;
                phase[s] = resolving
            fi;
#ifdef CONFLICT_WITHOUT_READ_BACK
            if
            :: phase[s] == resolving && lostWrite[s] -> phase[s] = told_conflict
            :: else
            fi;
#endif
        }
    :: phase[s] == resolving ->
        atomic {
            if
            :: IN_HISTORY(s) -> phase[s] = told_accepted
            :: !IN_HISTORY(s) && storeVersion == expectedVersion[s] && storeLatest == base[s] ->
#ifdef CONFLICT_BEFORE_VERSION_MOVED
                phase[s] = told_conflict
#else
                if
                :: phase[s] = writing
                :: phase[s] = told_unknown
                fi
#endif
            :: !IN_HISTORY(s) && !(storeVersion == expectedVersion[s] && storeLatest == base[s]) ->
                if
                :: !lostWrite[s] -> phase[s] = told_conflict
                :: lostWrite[s] && IN_HISTORY(other) && phase[other] != asking_generation && generation[other] == generation[s] && REPAIR_SEEN && base[other] == base[s] ->
                    /* checking_nodes */
                    if
                    :: inForce[0] == s || inForce[1] == s -> phase[s] = told_accepted
                    :: else -> phase[s] = told_conflict
                    fi
                :: else -> phase[s] = told_unknown
                fi
            fi;
            assert(phase[s] != told_conflict || !landed[s] || restoredMeanwhile[s]);
        }
    :: phase[s] == told_accepted -> assert(landed[s]); break
    :: phase[s] == told_conflict -> assert(!landed[s] || restoredMeanwhile[s]); break
    :: phase[s] == told_unknown -> break
    od
}

/* Lets writes land whose answers were given up. */
active proctype network()
{
    byte s;
    bool effective;
    do
    :: atomic { lateWrites[1] > 0 -> s = 1; lateWrites[s]--; applyWrite(s, effective) }
    :: atomic { lateWrites[2] > 0 -> s = 2; lateWrites[s]--; applyWrite(s, effective) }
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
        /* A publication that has not begun is not concerned. */
        restoredMeanwhile[1] = (phase[1] != asking_generation);
        restoredMeanwhile[2] = (phase[2] != asking_generation);
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

active [NODES] proctype keeper()
{
    byte n = _pid - PUBLISHERS - 1; /* after the publishers and the network */
    byte seen;
    byte seenVersion;
#ifndef NO_RESTORE
    n = n - 1;
#endif
    do
    :: /* store_document_read: the watch returns and the document is opened later */
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
    :: /* document_difference or document_whole from the other node */
        atomic { adopt(n, inForce[1 - n]) }
    od
}
