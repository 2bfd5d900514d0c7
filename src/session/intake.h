/**
 * @file intake.h
 * Back-pressure on a connection: when its socket is read, and when it holds too
 * much. The bytes are those of the process's account, see budget.h.
 */
#pragma once

#include "proxy.h"

G_BEGIN_DECLS

typedef struct TouIntake TouIntake;

/** Kind of connection. */
typedef struct
{
  TouBudgetClass budget; /**< with tou_intake_evict() and tou_intake_check() */
  /** Closes the connection, now or when its statement ends. */
  void (*close) (TouIntake *intake, const char *reason);
  /** Called when unsent output no longer prevents statements. */
  void (*resume) (TouIntake *intake);
  uv_read_cb on_read;
  guint max_prepared; /**< limits of a session's prepared statements */
  gsize max_prepared_bytes;
} TouIntakeClass;

/** Input and output of a connection; embedded in its owner. */
struct TouIntake
{
  TouBudgetUser user;
  TouProxy *proxy;
  uv_stream_t *stream;
  GString *in;        /**< received, not yet handled */
  GString *text;      /**< statement in progress */
  gsize searched;     /**< bytes of @a in without a line end */
  guint64 stopped_us; /**< since when the account prevents reading; 0: not */
  guint64 unsent_us;  /**< when the write queue last shrank; 0: empty */
  guint32 prepared;   /**< bytes of the prepared statements */
  guint32 unsent;     /**< size of the write queue at the last check */
  guint busy : 1;     /**< a statement is in progress */
  guint stopped : 1;  /**< the socket is not read */
};

void tou_intake_init (TouIntake *intake, TouProxy *proxy, uv_tcp_t *tcp,
                      const TouIntakeClass *class);
/** Frees the buffers. */
void tou_intake_clear (TouIntake *intake);
/** Starts to read; call it when the connection is accepted. */
void tou_intake_start (TouIntake *intake);
/** Stops reading for good. */
void tou_intake_stop (TouIntake *intake);

/** Takes the next line of @a in; @a used as in plat_wire_next_line(). */
gboolean tou_intake_next_line (TouIntake *intake, TouSlice *line, gsize *used);

/**
 * Drops the first @a used bytes of @a in, accounts for the buffers, releases
 * the memory of those that have become empty, and stops or resumes reading.
 */
void tou_intake_settle (TouIntake *intake, gsize used, gboolean busy);

/** TRUE if no further statement may begin until the other end reads. */
gboolean tou_intake_is_blocked (const TouIntake *intake);

/** Sends a copy of the bytes. */
void tou_intake_send (TouIntake *intake, const GString *message);

/**
 * TRUE if SET or PREPARE keeps the session within the limits, or it is another
 * statement; counts the others.
 */
gboolean tou_intake_may_change (const TouIntake *intake,
                                const TouSqlStatement *statement,
                                const TouSqlValues *values,
                                GHashTable *prepared);

/** Notes that @a statement has changed the session. */
void tou_intake_set_state (TouIntake *intake, const TouSqlStatement *statement,
                           const TouSqlValues *values, GHashTable *prepared);

/** Callbacks of TouBudgetClass for a TouIntake. */
void tou_intake_evict (TouBudgetUser *user);
void tou_intake_check (TouBudgetUser *user, guint64 now_us);

G_END_DECLS
