#include "random.h"

/* Multiplier of xorshift64* (Vigna, 2016). */
#define TOU_RANDOM_MULTIPLIER G_GUINT64_CONSTANT (0x2545F4914F6CDD1D)
/* Replaces seed 0, for which xorshift yields only zeros. */
#define TOU_RANDOM_DEFAULT_SEED G_GUINT64_CONSTANT (0x9E3779B97F4A7C15)

void
tou_random_init (TouRandom *random, guint64 seed)
{
  random->state = seed != 0 ? seed : TOU_RANDOM_DEFAULT_SEED;
}

guint64
tou_random_next (TouRandom *random)
{
  guint64 x = random->state;

  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  random->state = x;
  return x * TOU_RANDOM_MULTIPLIER;
}

guint64
tou_random_below (TouRandom *random, guint64 bound)
{
  if (bound == 0)
    return 0;
  return tou_random_next (random) % bound;
}
