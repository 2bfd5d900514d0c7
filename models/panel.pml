/*
 * Proofs of a group record while the panel is replaced and the primary changed:
 * once a replica is promoted, no node may have, or obtain, a proof of the record
 * that named the old primary.  docs/model.md explains the bounds and the
 * mutations (MUTATE_*).
 *
 * Members 0 to 2 are the old panel, 1 to 3 the new one. Time is in the order of
 * the steps: a proof is as old as its question, so what was asked before a step
 * has expired 1 s later. Lost messages and partitions are steps that never
 * happen.
 */
#define OLD_PANEL 7  /* members 0, 1, 2 */
#define NEW_PANEL 14 /* members 1, 2, 3 */

byte spanel;         /* in the store; 0: old, 1: joint, 2: new */
bool srecord;        /* in the store: the change of primary is announced */
byte panel[4];       /* that each member has read from the store */
byte records;        /* members that have the announcement */

byte npanel;         /* that the node has received */
byte votes;          /* members that proved the old record to the node */
bool before_settle;  /* the node asked before the old panel became obsolete */
bool before_quorum;  /* the node asked before a majority had the record */

bool obsolete;       /* a majority of the old panel has the joint one */
bool quorum;         /* a majority of the voters has the announcement */
byte quorum_panel;   /* the leader's panel at that time */
bool promoted;

#define COUNT(set)                                                             \
  (((set) &1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define VOTERS (npanel == 0 -> OLD_PANEL : NEW_PANEL)
#define HAS_PROOF (COUNT (votes & VOTERS) >= 2)
#define HAVE_JOINT                                                             \
  ((panel[0] > 0) + ((panel[1] > 0) << 1) + ((panel[2] > 0) << 2))

#ifdef MUTATE_SETTLE_EARLY
#define MAY_SETTLE true
#else
#define MAY_SETTLE (COUNT (HAVE_JOINT) >= 2)
#endif

#ifdef MUTATE_NO_JOINT
#define NEEDS_OLD (spanel == 0)
#else
#define NEEDS_OLD (spanel < 2)
#endif
#define QUORUM                                                                 \
  ((!NEEDS_OLD || COUNT (records & OLD_PANEL) >= 2)                            \
   && (spanel == 0 || COUNT (records & NEW_PANEL) >= 2))

#define PANEL_UNCHANGED (spanel == quorum_panel)

/* A member with a newer panel no longer votes in the node's, and one that has
   not read the store up to the node's panel may lack records that are older. */
#ifdef MUTATE_ACCEPT_NEWER
#define ACCEPTED(m) (panel[m] >= npanel)
#else
#ifdef MUTATE_ACCEPT_OLDER
#define ACCEPTED(m) (panel[m] <= npanel)
#else
#define ACCEPTED(m) (panel[m] == npanel)
#endif
#endif

/* The store is read in order: what is older than the panel comes with it. */
#define RECEIVE(m)                                                             \
  :: d_step { panel[m] < spanel; panel[m] = spanel;                            \
    records = records | (srecord << m) }                                       \
  :: d_step { srecord && !(records & (1 << m));                                \
    records = records | (1 << m) }

#define ANSWER(m)                                                              \
  :: d_step { !(records & (1 << m)) && (VOTERS & (1 << m)) && ACCEPTED (m)     \
    && !(votes & (1 << m));                                                    \
    votes = votes | (1 << m) }

active proctype members ()
{
  do
  RECEIVE (0)
  RECEIVE (1)
  RECEIVE (2)
  RECEIVE (3)
  od
}

active proctype node ()
{
  do
  ANSWER (0)
  ANSWER (1)
  ANSWER (2)
  ANSWER (3)
  /* A new question; earlier answers are forgotten. */
  :: d_step { votes = 0; before_settle = false; before_quorum = false }
  :: d_step { npanel < spanel; npanel = spanel }
  od
}

active proctype leader ()
{
  do
  :: d_step { spanel == 0; spanel = 1 }
  :: d_step { spanel == 1 && !obsolete && MAY_SETTLE; obsolete = true;
    before_settle = true }
  /* 1 s later. */
  :: d_step { spanel == 1 && obsolete;
    if
    :: before_settle -> votes = 0
    :: else
    fi;
    spanel = 2 }
  :: d_step { !srecord; srecord = true }
  :: d_step { srecord && !quorum && QUORUM; quorum = true;
    quorum_panel = spanel; before_quorum = true }
  /* 1 s later; the candidate's record is written if the panel is unchanged. */
  :: d_step { quorum && PANEL_UNCHANGED && !promoted;
    if
    :: before_quorum -> votes = 0
    :: else
    fi;
    promoted = true }
  /* The majority is awaited again after a change of the panel. */
  :: d_step { quorum && spanel != quorum_panel && !promoted; quorum = false }
  od
}

active proctype monitor ()
{
  assert (!(promoted && HAS_PROOF))
}
