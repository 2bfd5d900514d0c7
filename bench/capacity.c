/* Measures CPU, memory and control traffic of one decision core at several
 * sizes, and the time until a new entry is replicated to all cores. The figures
 * depend on the machine; scripts/capacity writes them to docs/CAPACITY.md.
 *
 * Each line of the output is "name,members,groups,value,unit".
 */
#include "capacity/measure.h"

#include "toucanscale/types.h"

#include <stdio.h>

/* VMs of proxies and databases in one of nine failure domains (design 1.6). */
#define VMS_PER_FAILURE_DOMAIN ((5900 + 9800) / 9)

void
print_figure (const char *name, guint members, guint groups, double value,
              const char *unit)
{
  printf ("%s,%u,%u,%.3f,%s\n", name, members, groups, value, unit);
  fflush (stdout);
}

int
main (void)
{
  static const guint members[] = { 100, 1000, 5900 };
  static const guint groups[] = { 100, 1000, 3267 };
  /* 5,900 cores would need over 15 GB, because each holds all members. */
  static const guint cores[] = { 100, 300, 1000, 3000 };

  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    for (gsize k = 0; k < G_N_ELEMENTS (groups); k++)
      {
        measure_size (members[i], groups[k]);
        measure_placement (members[i], groups[k]);
      }
  measure_leaving (1);
  measure_leaving (VMS_PER_FAILURE_DOMAIN);
  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    measure_serving (members[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (cores); i++)
    {
      measure_gossip (cores[i], 200 * TOU_US_PER_MS);
      measure_gossip (cores[i], TOU_US_PER_S);
    }
  return 0;
}
