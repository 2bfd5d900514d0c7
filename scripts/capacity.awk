# Computes the tables of docs/CAPACITY.md from the output of bench/capacity.

{ value[$1, $2, $3] = $4 }

function figure(name) { return value[name, N, G] }

function slope_members(name) {
    return (value[name, N, G] - value[name, 1000, G]) / (N - 1000)
}

function slope_groups(name) {
    return (value[name, N, G] - value[name, N, 100]) / (G - 100)
}

function slope_row(quantity, formula, number, unit) {
    printf "| %s | %s | %.4g %s |\n", quantity, formula, number, unit > slopes
}

function role_row(role, quantity, formula, number, unit) {
    printf "| %s | %s | %s | %.3g %s |\n", role, quantity, formula, number, unit > roles
}

function size_row(name, unit,   m, line) {
    line = "| " name
    for (m = 1; m <= 3; m++)
        line = line sprintf(" | %.4g", value[name, members[m], G])
    print line " | " unit " |" > sizes
}

function group_row(name, unit,   g, line) {
    line = "| " name
    for (g = 1; g <= 3; g++)
        line = line sprintf(" | %.4g", value[name, N, groups[g]])
    print line " | " unit " |" > sizes_groups
}

function gossip_row(cores,   p, line) {
    line = "| " cores
    for (p = 1; p <= 2; p++)
        line = line sprintf(" | %.4g | %.4g | %.1f | %.2f",
            value["gossip_90_percent", cores, pings[p]],
            value["gossip_all", cores, pings[p]],
            value["gossip_relay_share", cores, pings[p]],
            value["gossip_messages", cores, pings[p]])
    print line " |" > gossip
}

function write_sizes() {
    sizes = dir "/sizes"
    sizes_groups = dir "/sizes-groups"
    print "| figure at 3,267 groups | 100 members | 1,000 | 5,900 | unit |" > sizes
    print "|---|---|---|---|---|" > sizes
    print "| figure at 5,900 members | 100 groups | 1,000 | 3,267 | unit |" > sizes_groups
    print "|---|---|---|---|---|" > sizes_groups
    n = split("cpu_idle_tick cpu_ping cpu_ping_ack cpu_entries_message cpu_config_change " \
              "cpu_live_change cpu_state_change cpu_place_all cpu_place_change " \
              "cpu_load_entries cpu_join", cpu, " ")
    for (i = 1; i <= n; i++) { size_row(cpu[i], "us"); group_row(cpu[i], "us") }
    size_row("join_connections", "opened"); group_row("join_connections", "opened")
    size_row("memory_members", "B"); group_row("memory_members", "B")
    size_row("memory_groups", "B"); group_row("memory_groups", "B")
    size_row("traffic_200ms", "B/s sent"); group_row("traffic_200ms", "B/s sent")
    size_row("traffic_1s", "B/s sent"); group_row("traffic_1s", "B/s sent")
    size_row("traffic_changes_1s", "B/s sent"); group_row("traffic_changes_1s", "B/s sent")
}

function write_slopes() {
    slopes = dir "/slopes"
    print "| item | from | slope |" > slopes
    print "|---|---|---|" > slopes
    slope_row("memory per member", "memory_members, 1,000 to 5,900", slope_members("memory_members"), "B")
    slope_row("memory per group (entry, record, placement)", "memory_groups, 100 to 3,267", slope_groups("memory_groups"), "B")
    slope_row("memory per monitored and served group", "memory_monitored_group", value["memory_monitored_group", N, 20], "B")
    slope_row("memory per connection record", "memory_connection", value["memory_connection", N, 1], "B")
    slope_row("memory per pending request, gate", "memory_pending_gate", value["memory_pending_gate", N, 1], "B")
    slope_row("memory per pending request, front", "memory_pending_front", figure("memory_pending_front"), "B")
    slope_row("memory per open transaction", "memory_txn", value["memory_txn", N, 1], "B")
    slope_row("CPU per idle tick", "cpu_idle_tick", figure("cpu_idle_tick"), "us")
    slope_row("CPU per tick and monitored group", "cpu_tick_monitored / 20", value["cpu_tick_monitored", N, 20] / 20, "us")
    slope_row("CPU per report", "cpu_report", value["cpu_report", N, 20], "us")
    slope_row("CPU per ping received and answered", "cpu_ping", figure("cpu_ping"), "us")
    slope_row("CPU per ping answer", "cpu_ping_ack", figure("cpu_ping_ack"), "us")
    slope_row("CPU per new ENTRIES message, relay included", "cpu_entries_message", figure("cpu_entries_message"), "us")
    slope_row("CPU per change of a group's configuration", "cpu_config_change", figure("cpu_config_change"), "us")
    slope_row("CPU per change of the live set", "cpu_live_change, 100 to 3,267 groups", slope_groups("cpu_live_change"), "us per group")
    slope_row("CPU per first ranking of a group", "cpu_place_all / (members * groups)", figure("cpu_place_all") / N / G * 1000, "ns per member")
    slope_row("CPU per EXECUTE step", "cpu_execute_step", figure("cpu_execute_step"), "us")
    slope_row("CPU per write, all steps at the gate", "cpu_execute_all_steps", figure("cpu_execute_all_steps"), "us")
    slope_row("CPU per request at the front", "cpu_front_request", figure("cpu_front_request"), "us")
    slope_row("CPU per answer inside a transaction, front", "cpu_front_txn_reply", figure("cpu_front_txn_reply"), "us")
    slope_row("bytes of entries per group", "bytes_entries", slope_groups("bytes_entries"), "B")
    slope_row("bytes of LEAVING, one row", "bytes_leaving", value["bytes_leaving", 1, 0], "B")
    slope_row("bytes of LEAVING, a failure domain", "bytes_leaving, 1,744 rows", value["bytes_leaving", 1744, 0], "B")
    slope_row("bytes per ping or answer", "traffic_1s / 2 messages/s", figure("traffic_1s") / 2, "B")
}

function write_roles() {
    roles = dir "/roles"
    monitored_groups = 3 * G / N
    served_groups = G / N
    tick_us = value["cpu_tick_monitored", N, 20] / 20
    report_us = value["cpu_report", N, 20]
    reports_per_s = value["reports_per_group", N, 20]
    member_bytes = slope_members("memory_members"); group_bytes = slope_groups("memory_groups")
    monitored_bytes = value["memory_monitored_group", N, 20]
    live_per_s = 2 * 2620 / 86400
    changes_per_s = (5700 + 2 * 7) / 86400
    sent_per_s = figure("traffic_1s") + (figure("traffic_changes_1s") - figure("traffic_1s")) / 10
    idle_us = 100 * figure("cpu_idle_tick")
    member_us = figure("cpu_ping") + figure("cpu_ping_ack")
    live_us = live_per_s * figure("cpu_live_change")
    feed_us = changes_per_s * (figure("cpu_entries_message") + 3 * figure("cpu_ping_ack"))
    observe_us = monitored_groups * (100 * tick_us + reports_per_s * report_us)
    busy_us = 500 * (figure("cpu_idle_tick") + monitored_groups * tick_us) + monitored_groups * reports_per_s * report_us
    print "| role | quantity | formula | at the size in two years |" > roles
    print "|---|---|---|---|" > roles
    role_row("all", "member table", "5,900 * memory per member", N * member_bytes / 1048576, "MB")
    role_row("all", "groups", "3,267 * memory per group", G * group_bytes / 1048576, "MB")
    role_row("all", "ticks, idle", "100/s * CPU per idle tick", idle_us / 1e4, "% of a core")
    role_row("all", "pings, interval 1 s", "1/s * (ping + answer)", member_us / 1e4, "% of a core")
    role_row("all", "changes of the live set", "2 * 2,620 / day * cpu_live_change", live_us / 1e4, "% of a core")
    role_row("relay", "new entries", "5,714 / day * (ENTRIES + 3 duplicates)", feed_us / 1e4, "% of a core")
    role_row("relay", "control messages sent, payload", "traffic_1s + (traffic_changes_1s - traffic_1s) / 10", sent_per_s, "B/s")
    role_row("relay", "control messages sent and received, payload", "2 * sent (what one sends others receive)", 2 * sent_per_s, "B/s")
    role_row("relay", "entries handed to a starting proxy", "3,267 * bytes per group", G * slope_groups("bytes_entries") / 1e6, "MB")
    role_row("all", "start of a proxy", "cpu_join", figure("cpu_join") / 1e6, "s of CPU, once")
    role_row("observer", "groups observed, mean", "3 * 3,267 / 5,900", monitored_groups, "")
    role_row("observer", "state, 9 groups (largest of 5,900 proxies)", "9 * memory per monitored group", 9 * monitored_bytes / 1048576, "MB")
    role_row("observer", "reports received", "groups * 3 databases * 10/s", monitored_groups * reports_per_s, "1/s")
    role_row("observer", "reports and ticks, proxy without requests", "groups * (100/s * tick + reports * CPU)", observe_us / 1e4, "% of a core")
    role_row("gate", "groups served, mean", "3,267 / 5,900", served_groups, "")
    role_row("gate", "ticks and reports, proxy with requests", "500/s * (idle tick + groups * tick) + reports", busy_us / 1e4, "% of a core")
    role_row("gate", "statements (no control work)", "2,200/s * CPU per write", 2200 * figure("cpu_execute_all_steps") / 1e4, "% of a core")
    role_row("gate", "pending requests of one group", "3 databases * 3 ranks * 256 * memory per request", 3 * 3 * 256 * value["memory_pending_gate", N, 1] / 1048576, "MB at most")
    role_row("front", "requests (no control work)", "2,200/s * CPU per request", 2200 * figure("cpu_front_request") / 1e4, "% of a core")
    role_row("front", "answers, if all are inside transactions", "2,200/s * CPU per such answer", 2200 * figure("cpu_front_txn_reply") / 1e4, "% of a core")
    role_row("front", "pending requests", "4,096 (limit) * memory per request", 4096 * figure("memory_pending_front") / 1048576, "MB at most")
    role_row("watcher", "store writes and lease renewals", "6 * 3 / 5 s + 5,714 / day", 6 * 3 / 5 + changes_per_s, "calls/s, whole fleet")
    role_row("watcher", "range read", "3,267 * bytes per group * 4/3 (base64)", G * slope_groups("bytes_entries") * 4 / 3 / 1e6, "MB")
    role_row("sum", "memory of the core", "members + groups + 9 monitored groups", (N * member_bytes + G * group_bytes + 9 * monitored_bytes) / 1048576, "MB of 64")
    role_row("sum", "CPU of the core, proxy without requests", "ticks + pings + changes + entries + reports", (idle_us + member_us + live_us + feed_us + observe_us) / 1e4, "% of a core, of 1")
    role_row("sum", "CPU of the core, proxy with requests", "as above with ticks of 2 ms", (busy_us + member_us + live_us + feed_us) / 1e4, "% of a core, of 1")
}

function write_gossip() {
    gossip = dir "/gossip"
    pings[1] = 200; pings[2] = 1000
    print "| cores | 90%, ms | all, ms | by relay, % | messages per core | 90%, ms | all, ms | by relay, % | messages per core |" > gossip
    print "|---|---|---|---|---|---|---|---|---|" > gossip
    gossip_row(100); gossip_row(300); gossip_row(1000); gossip_row(3000)
}

END {
    N = 5900; G = 3267
    split("100 1000 5900", members, " ")
    split("100 1000 3267", groups, " ")
    write_sizes()
    write_slopes()
    write_roles()
    write_gossip()
}
