/**
 * @file fixture.h
 * One decision core with simulated peers and databases: they answer its pings,
 * open its database connections without delay and report to its control
 * requests.
 */
#pragma once

#include "failover.h"
#include "feed.h"
#include "toucanscale/core.h"

G_BEGIN_DECLS

#define FIXTURE_REGIONS 3
#define FIXTURE_DBS 3
/** Virtual time from a request to a database until its answer. */
#define FIXTURE_DB_US (1 * TOU_US_PER_MS)

/** Kinds of steps, whose CPU time is summed separately. */
typedef enum
{
  STEP_TICK,
  STEP_PING, /**< a received ping, including the answer to it */
  STEP_ACK,
  STEP_ENTRIES,
  STEP_REPORT,
  STEP_EXECUTE,
  STEP_RESULT,
  STEP_OTHER,
  STEP_COUNT
} StepClass;

typedef struct
{
  guint n_members; /**< including the core's own proxy */
  guint n_groups;
  guint n_served; /**< additional groups whose gate is on the core's proxy */
  guint slots;    /**< of the served groups */
  guint64 ping_interval_us;
} FixtureOptions;

typedef struct
{
  FixtureOptions options;
  TouCore *core;
  guint64 now_us;
  guint64 revision;
  guint64 position; /**< last log position of all databases */
  guint64 sequence;
  gboolean drop_statements; /**< leave database statements unanswered */
  gboolean count_bytes;     /**< count the bytes of sent messages */
  GQueue answers;           /**< of TouEvent *, not yet delivered */
  GPtrArray *served;        /**< names of the served groups */
  GHashTable *primaries;    /**< connection ids of primaries */
  double cpu_ns[STEP_COUNT];
  guint64 steps[STEP_COUNT];
  guint64 sent_messages;
  guint64 sent_bytes;
  TouRequestId last_execute; /**< id of the last EXECUTE sent by the core */
  guint64 entry_bytes; /**< size of the keys and values sent to the core */
  guint64 n_opened;    /**< database connections opened since the start */
  guint64 n_done;      /**< replies with the outcome done */
} Fixture;

/** Creates a core whose table has all members and whose feed is empty. */
Fixture *fixture_create (const FixtureOptions *options);
void fixture_destroy (Fixture *fixture);

/** Sends the table of all members; @a paced: with ticks in between. */
void fixture_load_members (Fixture *fixture, gboolean paced);

/** Sends all configuration and record entries to the core. */
void fixture_send_groups (Fixture *fixture);

/** Sends all entries and runs until the core is ready. */
void fixture_load_groups (Fixture *fixture);

/** Steps the core, adds its CPU time to @a class and queues the answers. */
void fixture_step (Fixture *fixture, StepClass class, TouEvent *event);

/** Delivers queued answers until the core requests nothing more. */
void fixture_deliver_answers (Fixture *fixture);

/** Runs ticks of 10 ms for @a us of virtual time; one ping is received per
 * interval. */
void fixture_run (Fixture *fixture, guint64 us);

/** Clears the sums of CPU time, steps and messages. */
void fixture_reset (Fixture *fixture);

/** Returns the mean CPU time of a step of @a class in microseconds. */
double fixture_mean_us (const Fixture *fixture, StepClass class);

/** Sets @a out to member @a i; 0 is the core's own proxy. */
void fixture_member (TouMemberUpdate *out, guint i);

/** Creates an empty message from member @a i. */
TouMessage *fixture_message (TouMessageType type, guint i);

/** Appends the configuration entry of a group. */
void fixture_add_group (TouEntryList *list, const char *name, guint home,
                        guint slots, guint64 revision);
/** Appends the entry of a group's record. */
void fixture_add_record (TouEntryList *list, const char *name,
                         guint64 revision);

/** Sends the entries that follow the last revision; takes ownership of the
 * items of @a list. */
void fixture_send_entries (Fixture *fixture, TouEntryList *list);

/** Returns the CPU time of the thread in nanoseconds. */
double cpu_now_ns (void);

G_END_DECLS
