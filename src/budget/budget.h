/**
 * @file budget.h
 * Account of the bytes that a process holds for others: input, statements,
 * session state, replies and unsent output.
 *
 * Every holder of such bytes is a user of the account. Above three quarters of
 * the limit the account is tight, and users stop reading; above the limit, the
 * users that hold most are closed until it is met. Users that hold little are
 * not tracked one by one, so that idle sessions cost nothing here.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct TouBudget TouBudget;
typedef struct TouBudgetUser TouBudgetUser;

/** What bytes are held for. */
typedef enum
{
  TOU_BUDGET_INPUT,     /**< received, not yet a statement */
  TOU_BUDGET_STATEMENT, /**< the statement in progress */
  TOU_BUDGET_STATE,     /**< session values and prepared statements */
  TOU_BUDGET_REPLY,     /**< replies of databases */
  TOU_BUDGET_OUTPUT,    /**< written, not yet taken by the kernel */
  TOU_BUDGET_N
} TouBudgetKind;

/** Kind of user. */
typedef struct
{
  const char *name; /**< for the dump */
  /** Closes the user. Its bytes are released now or when its work ends. */
  void (*close) (TouBudgetUser *user);
  /** Periodic check of a tracked user; may close it. */
  void (*check) (TouBudgetUser *user, guint64 now_us);
} TouBudgetClass;

/** A holder of bytes; embedded in its owner. */
struct TouBudgetUser
{
  TouBudget *budget;
  const TouBudgetClass *class;
  GList *tracked; /**< node in the account's list, or NULL */
  guint32 bytes[TOU_BUDGET_N];
  gboolean closing; /**< it was selected to be closed */
};

/** @param limit_bytes 0: no limit */
int tou_budget_create (TouBudget **out, guint64 limit_bytes);
void tou_budget_destroy (TouBudget *budget);

void tou_budget_user_init (TouBudgetUser *user, TouBudget *budget,
                           const TouBudgetClass *class);
/** Removes the user and its bytes from the account; may be repeated. */
void tou_budget_user_clear (TouBudgetUser *user);

/** Sets the number of bytes that @a user holds for @a kind. */
void tou_budget_set (TouBudgetUser *user, TouBudgetKind kind, gsize bytes);
gsize tou_budget_user_bytes (const TouBudgetUser *user);

/** Bytes held by all users for @a kind. */
guint64 tou_budget_used (const TouBudget *budget, TouBudgetKind kind);
guint64 tou_budget_total (const TouBudget *budget);
/** Highest total so far. */
guint64 tou_budget_peak (const TouBudget *budget);
guint64 tou_budget_limit (const TouBudget *budget);
guint tou_budget_n_tracked (const TouBudget *budget);

/** TRUE above three quarters of the limit. */
gboolean tou_budget_is_tight (const TouBudget *budget);

/**
 * Closes the users that hold most while the total is above the limit. Call it
 * where closing any user is safe.
 */
void tou_budget_enforce (TouBudget *budget);

/** Checks all tracked users. */
void tou_budget_check (TouBudget *budget, guint64 now_us);

/** Returns unused memory of a string that has grown and is mostly empty. */
void tou_budget_trim (GString *string);

G_END_DECLS
