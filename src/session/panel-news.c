#include "panel-news.h"

#include "pack.h"

#include <string.h>

/* Numbers of fields of a message and of a registration. */
#define PANEL_NEWS_FIELDS 6
#define PANEL_NEWS_NODE_FIELDS 4

void
tou_panel_news_add (TouPanelNews *news, const TouRegistration *node)
{
  if (news->n_nodes < TOU_PANEL_NEWS_MAX_NODES
      && !tou_panel_news_has (news, &node->node))
    news->nodes[news->n_nodes++] = *node;
}

gboolean
tou_panel_news_has (const TouPanelNews *news, const TouName *node)
{
  for (guint i = 0; i < news->n_nodes; i++)
    if (tou_name_equal (&news->nodes[i].node, node))
      return TRUE;
  return FALSE;
}

gboolean
tou_panel_news_introduces (const TouPanelNews *news, const TouName *sender,
                           const TouPanel *current)
{
  return news->panel.revision > current->revision
         && tou_panel_follows (&news->panel, current)
         && tou_panel_news_has (news, sender);
}

static void
panel_news_pack_names (msgpack_packer *packer, const TouName *names, guint n)
{
  msgpack_pack_array (packer, n);
  for (guint i = 0; i < n; i++)
    tou_pack_name (packer, &names[i]);
}

void
tou_panel_news_pack (msgpack_packer *packer, const TouPanelNews *news)
{
  const TouPanel *panel = &news->panel;

  msgpack_pack_array (packer, PANEL_NEWS_FIELDS);
  msgpack_pack_uint64 (packer, panel->revision);
  msgpack_pack_uint64 (packer, panel->joint);
  panel_news_pack_names (packer, panel->members, panel->n_members);
  panel_news_pack_names (packer, panel->previous, panel->n_previous);
  msgpack_pack_uint64 (packer, news->proves);
  msgpack_pack_array (packer, news->n_nodes);
  for (guint i = 0; i < news->n_nodes; i++)
    {
      const TouRegistration *node = &news->nodes[i];

      msgpack_pack_array (packer, PANEL_NEWS_NODE_FIELDS);
      tou_pack_name (packer, &node->node);
      tou_pack_name (packer, &node->address);
      tou_pack_name (packer, &node->failure_domain);
      msgpack_pack_uint64 (packer, node->revision);
    }
}

static gboolean
panel_news_unpack_names (TouName *names, guint *n, const msgpack_object *list)
{
  if (list->type != MSGPACK_OBJECT_ARRAY
      || list->via.array.size > TOU_PANEL_SIZE)
    return FALSE;
  for (guint i = 0; i < list->via.array.size; i++)
    if (!tou_unpack_name (&names[(*n)++], &list->via.array.ptr[i]))
      return FALSE;
  return TRUE;
}

static gboolean
panel_news_unpack_node (TouRegistration *out, const msgpack_object *object)
{
  const msgpack_object *fields = object->via.array.ptr;

  return object->type == MSGPACK_OBJECT_ARRAY
         && object->via.array.size == PANEL_NEWS_NODE_FIELDS
         && tou_unpack_name (&out->node, &fields[0])
         && tou_unpack_name (&out->address, &fields[1])
         && tou_unpack_name (&out->failure_domain, &fields[2])
         && tou_unpack_number (&out->revision, &fields[3]);
}

gboolean
tou_panel_news_unpack (TouPanelNews *out, const msgpack_object *object)
{
  const msgpack_object *fields = object->via.array.ptr;
  TouPanel *panel = &out->panel;
  const msgpack_object *list;
  guint64 joint;
  guint64 proves;

  memset (out, 0, sizeof *out);
  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != PANEL_NEWS_FIELDS
      || !tou_unpack_number (&panel->revision, &fields[0])
      || !tou_unpack_number (&joint, &fields[1])
      || !panel_news_unpack_names (panel->members, &panel->n_members,
                                   &fields[2])
      || !panel_news_unpack_names (panel->previous, &panel->n_previous,
                                   &fields[3])
      || panel->n_members == 0 || (joint != 0 && panel->n_previous == 0)
      || !tou_unpack_number (&proves, &fields[4]))
    return FALSE;
  panel->joint = joint != 0;
  out->proves = proves != 0;
  list = &fields[5];
  if (list->type != MSGPACK_OBJECT_ARRAY
      || list->via.array.size > TOU_PANEL_NEWS_MAX_NODES)
    return FALSE;
  for (guint i = 0; i < list->via.array.size; i++)
    if (!panel_news_unpack_node (&out->nodes[out->n_nodes++],
                                 &list->via.array.ptr[i]))
      return FALSE;
  return TRUE;
}
