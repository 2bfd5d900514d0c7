/**
 * @file panel-news.h
 * A panel as nodes pass it on, with the registrations that its receiver needs.
 *
 * A node that the store turns away knows neither a new panel nor nodes that
 * have registered since. It learns both from them.
 */
#pragma once

#include "panel.h"

#include <msgpack.h>

G_BEGIN_DECLS

/** Maximum number of registrations: the members, the leader and the sender. */
#define TOU_PANEL_NEWS_MAX_NODES (TOU_PANEL_SIZE + 2)

/** A node's registration in the store. */
typedef struct
{
  TouName node;
  TouName address; /**< that receives heartbeats */
  TouName failure_domain;
  guint64 revision;
} TouRegistration;

typedef struct
{
  TouPanel panel;
  gboolean proves; /**< its members have the records as of its revision */
  guint n_nodes;
  TouRegistration nodes[TOU_PANEL_NEWS_MAX_NODES];
} TouPanelNews;

/** Adds a registration, unless there is one of the same node. */
void tou_panel_news_add (TouPanelNews *news, const TouRegistration *node);

/** TRUE if the registration of @a node is included. */
gboolean tou_panel_news_has (const TouPanelNews *news, const TouName *node);

/**
 * Returns TRUE if a node with the panel @a current may take nodes that it does
 * not know from @a news of @a sender: the panel has to be the successor that a
 * majority of its own is asked to agree to.
 */
gboolean tou_panel_news_introduces (const TouPanelNews *news,
                                    const TouName *sender,
                                    const TouPanel *current);

void tou_panel_news_pack (msgpack_packer *packer, const TouPanelNews *news);
/** @return FALSE if @a object is malformed */
gboolean tou_panel_news_unpack (TouPanelNews *out,
                                const msgpack_object *object);

G_END_DECLS
