/**
 * @file random.h
 * Seeded pseudo-random numbers (xorshift64*), reproducible for each core.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct
{
  guint64 state;
} TouRandom;

void tou_random_init (TouRandom *random, guint64 seed);
guint64 tou_random_next (TouRandom *random);

/** Returns a number in [0, bound); 0 if @a bound is 0. */
guint64 tou_random_below (TouRandom *random, guint64 bound);

G_END_DECLS
