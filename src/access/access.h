/**
 * @file access.h
 * Whether a session may run operations, and for which team.
 *
 * Pattern: clients of many teams on the same database names, whose keys are
 * withdrawn while their sessions are open. Every operation is checked against
 * the configuration in force, so a withdrawn key ends without a message to the
 * sessions that use it.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

/**
 * Identifies the team that a session's operations belong to.
 *
 * @param key the session's API key, from tou_access_new_key(); NULL: none
 * @param team set to the team's name; empty if there is none, which is allowed
 * on routes without authentication and in configurations without teams
 * @return TOU_E_UNAUTHORIZED if the route requires a key of a team
 */
int tou_access_check (const TouRouting *routing, const TouRoute *route,
                      const char *key, TouName *team);

/**
 * Returns an API key as it is looked up: a long one is shortened. Free it with
 * g_free().
 *
 * @return NULL if @a text cannot be a key, because it is empty or has blanks
 */
char *tou_access_new_key (TouSlice text);

/**
 * Returns the full name of a team, which databases are told.
 *
 * @return NULL if @a name is shortened, and no team in @a routing has it
 */
const char *tou_access_full_name (const TouRouting *routing,
                                  const TouName *name);

/**
 * Adds a team to @a routing, which takes a copy.
 *
 * @return TOU_E_CONFIG_INVALID if its name or quota is invalid, or taken
 */
int tou_access_add_team (TouRouting *routing, const TouTeam *team);

/**
 * Adds a key of the team @a name, which must have been added.
 *
 * @return TOU_E_CONFIG_INVALID if the key is empty, has blanks or is in use
 */
int tou_access_add_key (TouRouting *routing, const TouName *name,
                        const char *key, gsize len);

G_END_DECLS
