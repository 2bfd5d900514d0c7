/**
 * @file check.h
 * Checks a configuration before it is put into force: entries that can never
 * match, limits that contradict each other, and what differs from the version
 * in force. The decoder of the configuration adds what it rejects or ignores.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

typedef enum
{
  TOU_CHECK_ERROR,    /**< the nodes reject or ignore it */
  TOU_CHECK_UNUSED,   /**< it can never match */
  TOU_CHECK_CONFLICT, /**< it contradicts another limit */
  TOU_CHECK_CHANGE,   /**< it differs from the version in force */
  TOU_CHECK_KINDS
} TouCheckKind;

typedef struct TouCheck TouCheck;

void tou_check_create (TouCheck **out);
void tou_check_destroy (TouCheck *check);

/**
 * Adds a finding.
 *
 * @param type type of the entry, such as "route"
 * @param name name of the entry; NULL: the configuration itself
 */
void tou_check_add (TouCheck *check, TouCheckKind kind, const char *type,
                    const char *name, const char *format, ...)
    G_GNUC_PRINTF (5, 6);

/** Checks the entries of @a routing. */
void tou_check_routing (TouCheck *check, const TouRouting *routing);

/** Adds the differences between two versions. API keys are only counted. */
void tou_check_compare (TouCheck *check, const TouRouting *before,
                        const TouRouting *after);

/** Number of findings that are not differences. */
guint tou_check_problems (const TouCheck *check);

/** Writes the findings, sorted by kind, type and name; one in each line. */
void tou_check_print (const TouCheck *check, GString *out);

/** Writes the findings as JSON: a list of kind, type, name and text. */
void tou_check_print_json (const TouCheck *check, GString *out);

G_END_DECLS
