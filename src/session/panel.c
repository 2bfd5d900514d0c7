#include "panel.h"

#include "toucanscale/status.h"

#include <jansson.h>

#include <string.h>

static gboolean
panel_list_contains (const TouName *names, guint n, const TouName *name)
{
  for (guint i = 0; i < n; i++)
    if (tou_name_equal (&names[i], name))
      return TRUE;
  return FALSE;
}

gboolean
tou_panel_contains (const TouPanel *panel, const TouName *node)
{
  return panel_list_contains (panel->members, panel->n_members, node);
}

gboolean
tou_panel_is_previous (const TouPanel *panel, const TouName *node)
{
  return panel_list_contains (panel->previous, panel->n_previous, node);
}

guint
tou_panel_required (const TouPanel *panel, const TouName *self)
{
  if (panel->revision == 0)
    return 0;
  /* A member's own record counts as its answer. */
  return panel->n_members / 2 + !tou_panel_contains (panel, self);
}

gboolean
tou_panel_has_majority (const TouPanel *panel, const TouPanelVotes *votes)
{
  if (panel->revision == 0)
    return TRUE;
  return votes->n_members * 2 > panel->n_members
         && (!panel->joint || votes->n_previous * 2 > panel->n_previous);
}

static guint
panel_count_in_domain (const TouPanel *panel, const TouGatewayNode *nodes,
                       guint n_nodes, const TouName *failure_domain)
{
  guint count = 0;

  for (guint i = 0; i < n_nodes; i++)
    if (tou_name_equal (&nodes[i].failure_domain, failure_domain)
        && tou_panel_contains (panel, &nodes[i].node))
      count++;
  return count;
}

gboolean
tou_panel_can_replace (const TouGatewayNode *nodes, guint n_nodes)
{
  for (guint i = 0; i < n_nodes; i++)
    if (nodes[i].alive && !nodes[i].draining)
      return TRUE;
  return FALSE;
}

/* Returns the node of the failure domain with the fewest members, or NULL. */
static const TouGatewayNode *
panel_next_member (const TouPanel *panel, const TouGatewayNode *nodes,
                   guint n_nodes)
{
  const TouGatewayNode *best = NULL;
  guint best_count = 0;
  guint best_hash = 0;

  for (guint i = 0; i < n_nodes; i++)
    {
      guint hash = tou_name_hash (&nodes[i].node);
      guint count;

      if (!nodes[i].alive || nodes[i].draining
          || tou_panel_contains (panel, &nodes[i].node))
        continue;
      count = panel_count_in_domain (panel, nodes, n_nodes,
                                     &nodes[i].failure_domain);
      if (best != NULL
          && (count > best_count || (count == best_count && hash <= best_hash)))
        continue;
      best = &nodes[i];
      best_count = count;
      best_hash = hash;
    }
  return best;
}

gboolean
tou_panel_choose (TouPanel *out, const TouPanel *current,
                  const TouGatewayNode *nodes, guint n_nodes)
{
  const TouGatewayNode *next;
  gboolean keep_draining = !tou_panel_can_replace (nodes, n_nodes);
  guint n_kept;

  memset (out, 0, sizeof *out);
  if (current->joint)
    return FALSE;
  for (guint i = 0; i < n_nodes; i++)
    if (!nodes[i].expired && (keep_draining || !nodes[i].draining)
        && tou_panel_contains (current, &nodes[i].node))
      out->members[out->n_members++] = nodes[i].node;
  n_kept = out->n_members;
  while (out->n_members < TOU_PANEL_SIZE
         && (next = panel_next_member (out, nodes, n_nodes)) != NULL)
    out->members[out->n_members++] = next->node;
  if (out->n_members == 0
      || (out->n_members == n_kept && n_kept == current->n_members))
    return FALSE;
  /* Without a panel no node proves records, so the first one follows none. */
  out->joint = current->revision != 0;
  out->n_previous = current->n_members;
  memcpy (out->previous, current->members, sizeof out->previous);
  return TRUE;
}

static gboolean
panel_lists_equal (const TouName *a, guint n_a, const TouName *b, guint n_b)
{
  for (guint i = 0; n_a == n_b && i < n_a; i++)
    if (!tou_name_equal (&a[i], &b[i]))
      return FALSE;
  return n_a == n_b;
}

gboolean
tou_panel_equal (const TouPanel *a, const TouPanel *b)
{
  return a->joint == b->joint
         && panel_lists_equal (a->members, a->n_members, b->members,
                               b->n_members)
         && panel_lists_equal (a->previous, a->n_previous, b->previous,
                               b->n_previous);
}

gboolean
tou_panel_follows (const TouPanel *panel, const TouPanel *previous)
{
  return panel->joint
         && panel_lists_equal (panel->previous, panel->n_previous,
                               previous->members, previous->n_members);
}

static json_t *
panel_encode_names (const TouName *names, guint n)
{
  json_t *list = json_array ();

  for (guint i = 0; i < n; i++)
    json_array_append_new (list, json_string (names[i].data));
  return list;
}

char *
tou_panel_encode (const TouPanel *panel)
{
  json_t *root
      = json_pack ("{s:o,s:b,s:o}", "members",
                   panel_encode_names (panel->members, panel->n_members),
                   "joint", panel->joint, "previous",
                   panel_encode_names (panel->previous, panel->n_previous));
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

static gboolean
panel_decode_names (TouName *names, guint *n, const json_t *list)
{
  if (!json_is_array (list) || json_array_size (list) > TOU_PANEL_SIZE)
    return FALSE;
  for (gsize i = 0; i < json_array_size (list); i++)
    {
      const char *name = json_string_value (json_array_get (list, i));

      if (name == NULL || tou_name_set_c (&names[(*n)++], name) != TOU_OK)
        return FALSE;
    }
  return TRUE;
}

int
tou_panel_decode (TouPanel *out, const TouStr *value)
{
  json_t *root = json_loadb (value->data, value->len, 0, NULL);
  const json_t *joint = json_object_get (root, "joint");
  int status = TOU_OK;

  memset (out, 0, sizeof *out);
  if (!json_is_boolean (joint)
      || !panel_decode_names (out->members, &out->n_members,
                              json_object_get (root, "members"))
      || !panel_decode_names (out->previous, &out->n_previous,
                              json_object_get (root, "previous"))
      || out->n_members == 0 || (json_is_true (joint) && out->n_previous == 0))
    status = tou_status_set (TOU_E_INVALID_JSON, "cannot decode panel");
  else
    out->joint = json_is_true (joint);
  json_decref (root);
  return status;
}
