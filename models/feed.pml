/*
 * Replication of entries: two operators change one setting, and a group's
 * record is written independently.  Two proxies receive the entries by relay in
 * any order, by anti-entropy and from the store.  docs/model.md explains the
 * properties, the bounds and the mutations (MUTATE_*).
 *
 * A relayed entry may arrive at any proxy at any time after its write and any
 * number of times, which covers loss, delay, reordering and repetition.
 */
#define MAXR 4 /* revisions; revision 1 is the initial setting */
#define SETTING 0
#define RECORD 1
#define INITIAL 3 /* value of revision 1; operator o writes o + 1 */

/* store: the history of revisions */
byte store_revision = 1;
byte history_key[MAXR + 1];
byte history_value[MAXR + 1];
bool history_deleted[MAXR + 1];
byte cur = 1;     /* revision of the setting */
byte version = 1; /* number of writes of the setting */
byte version_at[MAXR + 1];
bool record; /* the group's record is written */

/* operators' changes */
#define NEW 0
#define SENT 1
#define LOST 2 /* the reply is lost, the request may still arrive */
#define WRITTEN 3
#define CONFLICT 4
#define UNKNOWN 5
byte change_state[2];
byte expected[2];         /* expected revision */
byte expected_version[2]; /* version of the setting at that revision */
bool in_flight[2];        /* the request has not arrived yet */
bool took[2];             /* the store has applied the change */

/* proxies; entries are named by their revision, 0: none */
byte applied[4]; /* indexed by 2 * proxy + key */
byte comp[2];    /* all entries up to this revision are applied */
bool ready[2];
byte restarts;
/* answer to an ENTRIES_REQUEST, in flight to the proxy */
bool answer_pending[2];
byte answer_from[2];
byte answer_to[2];
byte answer_entry[4];
/* highest revision that this incarnation has applied */
byte top[4];

#define APPLIED(p, k) applied[2 * (p) + (k)]
#define ANSWER_ENTRY(p, k) answer_entry[2 * (p) + (k)]
#define TOP(p, k) top[2 * (p) + (k)]

hidden byte i;

inline write (key, value, deleted)
{
  store_revision++;
  history_key[store_revision] = key; history_value[store_revision] = value;
  history_deleted[store_revision] = deleted
}

/* ---- operators ---- */

/* Operator o reads the setting from proxy o. */
#define OPERATOR_SENDS(o)                                                      \
  :: d_step { change_state[o] == NEW && APPLIED (o, SETTING);                  \
    printf ("SEND %d\n", o);                                                   \
    expected[o] = APPLIED (o, SETTING);                                        \
    expected_version[o] = version_at[expected[o]];                             \
    in_flight[o] = true; change_state[o] = SENT }

#ifdef MUTATE_NO_COMPARE
#define COMPARES(o) true
#else
#define COMPARES(o) (cur == expected[o])
#endif

/* Operator 1 deletes the setting, operator 0 sets it. */
#define STORE_APPLIES(o)                                                       \
  :: d_step { in_flight[o] && COMPARES (o) && store_revision < MAXR;           \
    printf ("APPLY %d\n", o);                                                  \
    assert (cur == expected[o]);                                               \
    assert (change_state[o] != CONFLICT);                                      \
    in_flight[o] = false; took[o] = true;                                      \
    write (SETTING, (o) + 1, (o) == 1); cur = store_revision;                  \
    version++; version_at[store_revision] = version }

#define REPLY(o)                                                               \
  :: d_step { change_state[o] == SENT && took[o]; change_state[o] = WRITTEN }  \
  :: d_step { change_state[o] == SENT && in_flight[o] && cur != expected[o];   \
    in_flight[o] = false; change_state[o] = CONFLICT }                         \
  :: d_step { change_state[o] == SENT; printf ("LOST %d\n", o);                \
    change_state[o] = LOST }

#define OWN_VALUE(o) (history_value[cur] == (o) + 1)
/* A lost reply is resolved by the number of writes since the expected revision:
 * after exactly one, another operator's change was written instead, which is a
 * conflict. After more, the own change may have been written and replaced. */
#ifdef MUTATE_READBACK_ID_ONLY
#define WRITTEN_ONCE(o) true
#else
#define WRITTEN_ONCE(o) (version == expected_version[o] + 1)
#endif

#define READ_BACK(o)                                                           \
  :: d_step { change_state[o] == LOST && OWN_VALUE (o);                        \
    change_state[o] = WRITTEN }                                                \
  :: d_step { change_state[o] == LOST && !OWN_VALUE (o) && cur != expected[o]; \
    printf ("READ_BACK %d\n", o);                                              \
    if                                                                         \
    :: WRITTEN_ONCE (o) -> change_state[o] = CONFLICT; assert (!took[o])       \
    :: else -> change_state[o] = UNKNOWN                                       \
    fi }                                                                       \
  /* the setting is unchanged: the same compare-and-swap is sent again */      \
  :: d_step { change_state[o] == LOST && cur == expected[o];                   \
    in_flight[o] = true; change_state[o] = SENT }

#define OWNER_WRITES_RECORD                                                    \
  :: d_step { !record && store_revision < MAXR; record = true;                 \
    write (RECORD, 0, false) }

/* ---- proxies ---- */

#ifdef MUTATE_APPLY_OLDER
#define NEWER(p, k, r) ((r) != APPLIED (p, k))
#else
#define NEWER(p, k, r) ((r) > APPLIED (p, k))
#endif

inline apply (p, k, r)
{
  if
  :: (r) && NEWER (p, k, r) ->
#ifdef MUTATE_NO_TOMBSTONE
     APPLIED (p, k) = (history_deleted[r] -> 0 : (r));
#else
     APPLIED (p, k) = r;
#endif
     /* an older value never replaces a newer one */
     assert ((r) >= TOP (p, k));
     TOP (p, k) = r
  :: else
  fi
}

/* All entries up to the revision comp are applied. */
inline check_complete (p)
{
  i = 1;
  do
  :: i <= comp[p] -> assert (TOP (p, history_key[i]) >= i); i++
  :: else -> break
  od;
  i = 0
}

#define RELAYED(p, r)                                                          \
  :: d_step { (r) <= store_revision && NEWER (p, history_key[r], r);           \
    printf ("RELAYED %d %d\n", p, r);                                          \
    apply (p, history_key[r], r); RAISE_COMPLETE (p, r); check_complete (p) }
#ifdef MUTATE_RELAY_RAISES_REVISION
#define RAISE_COMPLETE(p, r) comp[p] = (comp[p] > r -> comp[p] : r)
#else
#define RAISE_COMPLETE(p, r) skip
#endif

/* A watcher reads all current entries from the store. */
#define READ_RANGE(p)                                                          \
  :: d_step { comp[p] < store_revision;                                        \
    printf ("READ_RANGE %d\n", p);                                             \
    i = 1;                                                                     \
    do                                                                         \
    :: i <= store_revision && (history_key[i] == RECORD || i == cur) ->        \
       apply (p, history_key[i], i); i++                                       \
    :: i <= store_revision && history_key[i] == SETTING && i != cur -> i++     \
    :: else -> break                                                           \
    od;                                                                        \
    comp[p] = store_revision; check_complete (p) }

/* The peer answers a request for the entries after the revision comp. */
#define ANSWER(p)                                                              \
  :: d_step { !answer_pending[p] && comp[p] < comp[1 - p];                     \
    printf ("ANSWER %d\n", p);                                                 \
    answer_pending[p] = true; answer_from[p] = comp[p];                        \
    answer_to[p] = comp[1 - p];                                                \
    ANSWER_ENTRY (p, 0)                                                        \
      = (APPLIED (1 - p, 0) > comp[p] -> APPLIED (1 - p, 0) : 0);              \
    ANSWER_ENTRY (p, 1)                                                        \
      = (APPLIED (1 - p, 1) > comp[p] -> APPLIED (1 - p, 1) : 0) }

/* An answer to an earlier incarnation omits the entries that it had applied. */
#ifdef MUTATE_ANSWER_OF_OLD_INCARNATION
#define MATCHES(p) true
#else
#define MATCHES(p) (answer_from[p] <= comp[p])
#endif

inline drop_answer (p)
{
  answer_pending[p] = false; answer_from[p] = 0; answer_to[p] = 0;
  ANSWER_ENTRY (p, 0) = 0; ANSWER_ENTRY (p, 1) = 0
}

#define TAKE_ANSWER(p)                                                         \
  :: d_step { answer_pending[p] && MATCHES (p);                                \
    printf ("TAKE_ANSWER %d\n", p);                                            \
    apply (p, 0, ANSWER_ENTRY (p, 0)); apply (p, 1, ANSWER_ENTRY (p, 1));      \
    comp[p] = (comp[p] > answer_to[p] -> comp[p] : answer_to[p]);              \
    drop_answer (p); check_complete (p) }                                      \
  :: d_step { answer_pending[p]; drop_answer (p) }

#define RESTART(p)                                                             \
  :: d_step { restarts < 2;                                                    \
    printf ("RESTART %d\n", p);                                                \
    restarts++; ready[p] = false; comp[p] = 0;                                 \
    APPLIED (p, 0) = 0; APPLIED (p, 1) = 0; TOP (p, 0) = 0; TOP (p, 1) = 0 }

#ifdef MUTATE_READY_AT_ONCE
#define CURRENT(p) true
#else
#define CURRENT(p) (comp[p] && comp[p] >= comp[1 - (p)])
#endif

/* Applies if the peer is reachable; otherwise the proxy waits for the store. */
#define BECOMES_READY(p)                                                       \
  :: d_step { !ready[p] && CURRENT (p);                                        \
    printf ("READY %d\n", p);                                                  \
    assert (comp[p] >= comp[1 - (p)]); assert (TOP (p, SETTING));              \
    ready[p] = true }

#define PROXY(p)                                                               \
  RELAYED (p, 1) RELAYED (p, 2) RELAYED (p, 3) RELAYED (p, 4)                  \
  ANSWER (p) TAKE_ANSWER (p) RESTART (p) BECOMES_READY (p)
#define OPERATOR(o) OPERATOR_SENDS (o) STORE_APPLIES (o) REPLY (o) READ_BACK (o)

/* The writes that the proxies have to apply if operators are not modelled:
 * set, record, delete. */
#define WRITES                                                                 \
  :: d_step { store_revision == 1; write (SETTING, 1, false);                  \
    cur = store_revision }                                                     \
  :: d_step { store_revision == 2; write (RECORD, 0, false) }                  \
  :: d_step { store_revision == 3; write (SETTING, 2, true);                   \
    cur = store_revision }

active proctype entries ()
{
  d_step { history_value[1] = INITIAL; version_at[1] = 1 };
end:
  do
  READ_RANGE (0)
  READ_RANGE (1)
#ifdef OPERATORS
  OPERATOR (0)
  OPERATOR (1)
  OWNER_WRITES_RECORD
#else
  WRITES
  PROXY (0)
  PROXY (1)
#endif
  od
}
