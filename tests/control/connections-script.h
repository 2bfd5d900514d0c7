/**
 * @file connections-script.h
 * Scripts of nodes that reach the store over connections which go silent.
 *
 * Each line is a command; times are in ms:
 *
 *     nodes N               starts nodes that have configuration 1 and a leader
 *     panel N               the first N nodes are the panel
 *     silence open|idle     open connections, or those without a call, go
 * silent configure V           the operator writes a configuration
 *     touch                 a key without a meaning is written; watches return
 *     await-version V T     all nodes use it within T
 *     calls N               N calls at once, whose answers are counted
 *     soak SEED N           N rounds of faults and configurations; the variable
 *                           TOU_SOAK_SEED replaces the seed
 *     wait T
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/** Runs a script and returns its transcript. */
GString *connections_script_run (const char *text);

G_END_DECLS
