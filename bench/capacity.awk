# Reads the points of bench/capacity, fits lines and prints the tables at the
# coming size.  A point of a window:
# series state x rate entries sidecars role daemons messages_out bytes_out
# messages_in bytes_in cpu_percent memory_kb memory_most_kb calls/s watchers

function add (name, x, y) {
  n[name]++
  sx[name] += x; sy[name] += y
  sxx[name] += x * x; sxy[name] += x * y; syy[name] += y * y
  px[name, n[name]] = x; py[name, n[name]] = y
}

# Least squares; prints slope, intercept, R squared, worst residual.
function fit (name, unit, per,   d, i, r, worst, ss, mean, total) {
  if (n[name] < 2) { printf "  %-34s no points\n", name; return }
  d = n[name] * sxx[name] - sx[name] ^ 2
  if (d == 0) { printf "  %-34s one size only\n", name; return }
  slope[name] = (n[name] * sxy[name] - sx[name] * sy[name]) / d
  base[name] = (sy[name] - slope[name] * sx[name]) / n[name]
  mean = sy[name] / n[name]
  for (i = 1; i <= n[name]; i++) {
    r = py[name, i] - base[name] - slope[name] * px[name, i]
    ss += r * r; total += (py[name, i] - mean) ^ 2
    if (r < 0) r = -r
    if (r > worst) worst = r
  }
  printf "  %-34s %10.4g + %10.4g a %-14s %-13s R2 %.3f  worst residual %.3g  points", \
    name, base[name], slope[name], per, unit, (total > 0 ? 1 - ss / total : 1), worst
  for (i = 1; i <= n[name]; i++) printf " %g:%.4g", px[name, i], py[name, i]
  print ""
}

# A value from a fit that was not made marks its row.
function rise (name) {
  if (!(name in slope)) {
    missing = 1
    return 0
  }
  return slope[name]
}

function at (name, x) { return base[name] + rise(name) * x }

function row (what, value, budget, unit, carrier) {
  if (missing) {
    printf "  %-48s not measured in this run\n", what
    missing = 0
    return
  }
  printf "  %-48s %12s %-8s %-12s %-5s %s\n", what, \
    sprintf(value >= 1000 ? "%.0f" : "%.3g", value), unit, \
    (budget > 0 ? "of " budget : "-"), \
    (budget > 0 ? (value > budget ? "OVER" : "within") : ""), carrier
}

# Heartbeats that an entry sends a second before S runners.
function heartbeats (s) { return 2 * s < 20 ? 2 * s : 20 }

$1 == "start" { add("calls at start", $5 * ($7 + 2), $4); next }
$1 == "documents" { manifest = $4; contract = $5; pool = $6; next }
$1 == "core" {
  core[++cores] = $0
  if ($4 == "size") { slope[$3 " " $8] = $6; base[$3 " " $8] = $5 }
  next
}

$2 == "change" {
  # series change x manifest contract pool entries sidecars left ms out_e in_e
  # out_s in_s
  if ($9 > 0) { late++; next }
  if ($1 == "changes") {
    add("change, entry receives", ($4 + $5) / 1000, $12 / 1000)
    add("change, entry sends", ($4 + $5) / 1000, $11 / 1000)
    add("change, sidecar receives", ($4 + $5) / 1000, $14 / 1000)
    add("change, time by document", ($4 + $5) / 1000, $10)
  }
  if ($1 == "changes" && $3 == 20 || $1 == "daemons") {
    add("change, time by daemons", $7 + $8, $10)
    add("change, entry receives, by entries", $7, $12 / 1000)
    add("change, entry sends, by entries", $7, $11 / 1000)
    add("change, sidecar receives, by entries", $7, $14 / 1000)
    if ($1 == "changes") first = ($4 + $5) / 1000
  }
  next
}

$1 == "entries" && $2 == "idle" && $7 == "entry" {
  add("entry idle, messages sent", $5, $9)
  add("entry idle, gossip bytes sent", $5, $10)
  add("entry idle, bytes received", $5, $12)
  add("entry idle, processor", $5, $13)
  add("entry idle, memory", $5, $14 / 1024)
  add("service, calls by entries", $5, $16)
}
$1 == "entries" && $2 == "loaded" && $7 == "entry" {
  add("entry loaded, messages sent", $5, $9)
  add("entry loaded, bytes sent", $5, $10)
  add("entry loaded, bytes received", $5, $12)
  add("entry loaded, processor", $5, $13)
}
($1 == "entries" || $1 == "sidecars") && $2 == "idle" && $7 == "sidecar" {
  beats = $5 * heartbeats($6) / $6
  add("sidecar, bytes sent", beats, $10)
  add("sidecar, bytes received", beats, $12)
  add("sidecar, processor", beats, $13)
  add("sidecar, memory by entries", $5, $14 / 1024)
}
$1 == "sidecars" && $2 == "idle" && $7 == "entry" {
  add("entry idle, memory by runners", $6, $14 / 1024)
  add("entry idle, processor by runners", $6, $13)
  if ($6 >= 10) { beat_out += $10; beat_in += $12; beat_n++ }
}
$1 == "workspaces" && $7 == "entry" { add("entry, bytes by workspaces", $3, $10 / $9) }
$1 == "requests" && $7 == "entry" { add("entry, work processor", $4, $13) }
$1 == "requests" && $7 == "sidecar" {
  add("sidecar, work processor", $4 * $5 / $6, $13)
}
$1 == "tokens" && $7 == "entry" { token_entry = $13 }
$1 == "tokens" && $7 == "sidecar" { token_sidecar = $13 * $6 / $5 }
$1 == "delivered" {
  add("entry, work processor by tokens", $4, token_entry)
  add("sidecars of an entry, by tokens", $4, token_sidecar)
}
$1 == "streams" && $7 == "entry" { add("entry, memory by streams", $3, $14) }
$1 == "streams" && $7 == "sidecar" { add("sidecar, memory by streams", $3 / $6, $14) }
$1 == "roster" && $7 == "entry" { add("entry, memory by roster", $3, $14 / 1024) }
$1 == "roster" && $7 == "sidecar" { add("sidecar, memory by roster", $3, $14 / 1024) }
$1 == "manifest" && $7 == "entry" { add("entry, memory by contracts", $3, $14 / 1024) }
$1 == "manifest" && $7 == "sidecar" { add("sidecar, memory by contracts", $3, $14 / 1024) }

END {
  print "== fits: value = constant + slope a unit"
  fit("entry idle, messages sent", "1/s", "entry")
  fit("entry idle, gossip bytes sent", "bytes/s", "entry")
  fit("entry idle, bytes received", "bytes/s", "entry")
  fit("entry idle, processor", "% of core", "entry")
  fit("entry idle, memory", "MB", "entry")
  fit("entry loaded, messages sent", "1/s", "entry")
  fit("entry loaded, bytes sent", "bytes/s", "entry")
  fit("entry loaded, bytes received", "bytes/s", "entry")
  fit("entry loaded, processor", "% of core", "entry")
  fit("entry, bytes by workspaces", "bytes/message", "workspace")
  fit("entry idle, memory by runners", "MB", "runner")
  fit("entry idle, processor by runners", "% of core", "runner")
  fit("entry, memory by roster", "MB", "runner")
  fit("entry, memory by contracts", "MB", "contract")
  fit("entry, memory by streams", "kB", "stream")
  fit("entry, work processor", "% of core", "request/s")
  fit("entry, work processor by tokens", "% of core", "token/s")
  fit("sidecars of an entry, by tokens", "% of core", "token/s")
  fit("sidecar, bytes sent", "bytes/s", "heartbeat/s")
  fit("sidecar, bytes received", "bytes/s", "heartbeat/s")
  fit("sidecar, processor", "% of core", "heartbeat/s")
  fit("sidecar, memory by entries", "MB", "entry")
  fit("sidecar, memory by roster", "MB", "runner")
  fit("sidecar, memory by contracts", "MB", "contract")
  fit("sidecar, memory by streams", "kB", "stream")
  fit("sidecar, work processor", "% of core", "request/s")
  fit("change, entry receives", "kB", "kB published")
  fit("change, entry sends", "kB", "kB published")
  fit("change, sidecar receives", "kB", "kB published")
  fit("change, entry receives, by entries", "kB", "entry")
  fit("change, entry sends, by entries", "kB", "entry")
  fit("change, sidecar receives, by entries", "kB", "entry")
  fit("change, time by document", "ms", "kB published")
  fit("change, time by daemons", "ms", "daemon")
  fit("calls at start", "calls", "doc x entry")
  fit("service, calls by entries", "calls/s", "entry")
  if (late) printf "  changes not in force within the wait: %d\n", late
  for (i = 1; i <= cores; i++) print "  " core[i]
  size()
}

function size (   e, s, day, per_s, pool_s, published, beats, in_s, runners,
                  sidecar_in, served, docs, more, whole, small, large, told,
                  said, heard, entry_rise, sidecar_rise) {
  e = 480; s = 12000; day = 86400; runners = 480
  per_s = 9800 / day; pool_s = 1370 / day
  printf "== documents at the size: manifest %d, contract %d, pool %d bytes\n", \
    manifest, contract, pool
  published = (manifest + contract) / 1000
  whole = (manifest + pool) / 1000
  # kB a change: announcements grow with the entries, documents with their
  # size; FIRST kB were published in the fleets of the fits by entries.
  small = published - first
  large = whole - first
  told = at("change, entry receives, by entries", e)
  said = at("change, entry sends, by entries", e)
  heard = at("change, sidecar receives, by entries", 120 * e / 3000)
  entry_rise = rise("change, entry receives")
  sidecar_rise = rise("change, sidecar receives")
  in_s = 1000 * (per_s * (told + entry_rise * small) \
    + pool_s * (told + entry_rise * large))
  sidecar_in = 1000 * (per_s * (heard + sidecar_rise * small) \
    + pool_s * (heard + sidecar_rise * large))
  served = 1000 * (per_s * (said + (entry_rise + s / e * sidecar_rise) * small) \
    + pool_s * (said + (entry_rise + s / e * sidecar_rise) * large))
  print "== one entry of 480, control"
  # Gossip in turn reaches 64 peers each 250 ms at most: 384 entries in 1.5 s.
  # The fleets of the fits had 8 heartbeats/s an entry, here there are 20.
  missing = 0
  more = 12 * rise("sidecar, bytes received")
  row("messages/s sent, idle", at("entry idle, messages sent", 384) + 12, 0, "1/s", "gossip in turn, heartbeats")
  row("bytes/s sent, idle", at("entry idle, gossip bytes sent", 384) + more, 5000, "bytes/s", "gossip in turn, heartbeats")
  row("bytes/s received, idle", at("entry idle, bytes received", 384) + 12 * rise("sidecar, bytes sent"), 5000, "bytes/s", "gossip, heartbeats' answers")
  row("messages/s sent, demands to tell", at("entry loaded, messages sent", e) + 12, 0, "1/s", "gossip to all entries")
  row("bytes/s sent, demands of 2 workspaces", at("entry loaded, bytes sent", e) + more, 5000, "bytes/s", "gossip to all entries")
  row("bytes/s sent, demands of 64 workspaces", at("entry loaded, messages sent", e) * at("entry, bytes by workspaces", 64), 5000, "bytes/s", "gossip to all entries")
  row("processor, idle", at("entry idle, processor", e), 3.3, "% core", "tick, gossip, heartbeats")
  row("processor, demands to tell and 2 requests/s", at("entry loaded, processor", e), 3.3, "% core", "gossip to all entries")
  row("kB received, announcements of one change", told, 0, "kB", "each entry tells all entries")
  row("bytes/s received, 9,800 + 1,370 changes a day", in_s, 5000, "bytes/s", "manifest and changed document")
  row("bytes/s sent, the same (mean)", served, 5000, "bytes/s", "to 25 sidecars and to entries")
  row("memory: idle, by entries", at("entry idle, memory", e), 256, "MB", "membership, connections")
  row("  further, roster of 12,000 in 4 pools", rise("entry, memory by roster") * s, 256, "MB", "pool documents, subset's connections")
  row("  further, 260 contracts", rise("entry, memory by contracts") * 260, 256, "MB", "contract documents")
  row("  further, limiter of 260 workspaces", at("limiter_tick_480_entries bytes", 260) / 1e6, 256, "MB", "share of each entry by workspace")
  row("processor, limiter at 4 ticks/s", 4 * at("limiter_tick_480_entries ns", 260) / 1e7, 3.3, "% core", "shares recomputed")
  row("  sum", at("entry idle, memory", e) + rise("entry, memory by roster") * s + rise("entry, memory by contracts") * 260 + at("limiter_tick_480_entries bytes", 260) / 1e6, 256, "MB", "")
  print "== one entry, work"
  row("processor at 29 requests/s of 20 tokens", rise("entry, work processor") * 14000 / e, 0, "% core", "HTTP, placement, relaying")
  row("processor at 29 requests/s, 9,800 tokens/s", at("entry, work processor by tokens", 4700000 / e), 0, "% core", "relaying of chunks")
  row("memory per stream", rise("entry, memory by streams"), 0, "kB", "one thread a connection")
  print "== one sidecar of 12,000, control (19.2 entries x 20/480 heartbeats/s)"
  beats = 120 * e / 3000 * 20 / runners
  row("heartbeats/s in, answers/s out", beats, 0, "1/s", "heartbeat")
  row("bytes/s sent", rise("sidecar, bytes sent") * beats, 5000, "bytes/s", "heartbeat")
  row("bytes/s received, heartbeats", rise("sidecar, bytes received") * beats, 5000, "bytes/s", "heartbeat")
  row("bytes/s received, changes", sidecar_in, 5000, "bytes/s", "manifest and changed document")
  row("processor", at("sidecar, processor", beats), 3.3, "% core", "tick, probe of the engine")
  row("memory with the roster and contracts", at("sidecar, memory by entries", 120 * e / 3000) + rise("sidecar, memory by roster") * s + rise("sidecar, memory by contracts") * 260, 256, "MB", "all documents")
  print "== the platform's service"
  row("calls/s, steady", at("service, calls by entries", e), 2000, "calls/s", "2 watchers a zone, others every 30 s")
  row("  waiting watches", 2 * 20, 2000, "calls", "manifest and instances, 2 watchers a zone")
  row("calls/s, documents read by watchers", 20 * (per_s + pool_s) * 2, 2000, "calls/s", "manifest and changed document")
  print "== a change in force everywhere"
  row("ms, by daemons", at("change, time by daemons", e + s), 13000, "ms", "watch, announcement, fetch")
  row("ms, by size of documents", at("change, time by document", published), 13000, "ms", "at 16 daemons")
  print "== bad days"
  docs = 260 + 4 + 1
  row("all daemons restart: calls on the service", at("calls at start", e * (docs + 1)), 0, "calls", "each entry reads all")
  row("  seconds at 2,000 calls/s", at("calls at start", e * (docs + 1)) / 2000, 13, "s", "")
  row("healing after 300 s: documents", 300 * (per_s + pool_s), 0, "", "only what changed is read")
  row("  kB a daemon", (manifest + 300 * per_s * contract + (300 * pool_s > 4 ? 4 : 300 * pool_s) * pool) / 1000, 0, "kB", "one manifest, what changed")
  row("zone lost: requests/s on an entry that stays", 14000 / 432, 0, "1/s", "placement, balancer")
  row("  processor for work, by tokens", at("entry, work processor by tokens", 4700000 / 432), 0, "% core", "")
  row("  processor for work, 20 tokens a request", rise("entry, work processor") * 14000 / 432, 0, "% core", "")
}
