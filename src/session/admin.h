/**
 * @file admin.h
 * HTTP servers for the readiness check, the metrics and the state dump.
 */
#pragma once

#include "proxy.h"

G_BEGIN_DECLS

typedef struct TouAdmin TouAdmin;

int tou_admin_create (TouAdmin **out, TouProxy *proxy);
void tou_admin_destroy (TouAdmin *admin);

G_END_DECLS
