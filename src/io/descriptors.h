/**
 * @file descriptors.h
 * Limit on the open file descriptors of the process.
 */
#pragma once

#include "toucanscale/settings.h"

G_BEGIN_DECLS

/** Returns the maximum number of descriptors that the daemon opens. */
guint64 tou_descriptors_needed (const TouSettings *settings);

/**
 * Raises the soft limit to the number of descriptors that the settings need.
 *
 * Fails with TOU_E_SETTING_INVALID if the hard limit is lower. Without this
 * check, a proxy could run out of descriptors under load and fail to open
 * connections to or from clients, peers and databases.
 */
int tou_descriptors_raise_limit (const TouSettings *settings);

G_END_DECLS
