/**
 * @file fleet-stubs.h
 * Stubs of the monitor and gate functions that the control modules call;
 * included by one source file of each test program.
 */
#pragma once

#include "front.h"
#include "gate.h"
#include "support/fleet.h"

const TouDbState *
tou_monitor_db (const TouMonitor *monitor, const TouName *group, guint endpoint)
{
  (void)group;
  return &((const FleetNode *)monitor)->db_state[endpoint];
}

int
tou_monitor_control (TouMonitor *monitor, const TouGroupConfig *group,
                     guint endpoint, TouDbControlOp op, guint64 term,
                     const TouName *attempt, guint primary, guint64 start)
{
  (void)start;
  return fleet_control ((FleetNode *)monitor, &group->name, endpoint, op, term,
                        attempt, primary);
}

void
tou_monitor_on_change (TouMonitor *monitor)
{
  (void)monitor;
}

void
tou_gate_on_change (TouGate *gate, const TouName *group)
{
  (void)gate;
  (void)group;
}

void
tou_gate_on_leaving (TouGate *gate, const TouVm *vms, guint count)
{
  (void)vms;
  (void)count;
  ((FleetNode *)gate)->n_leaving_calls++;
}
