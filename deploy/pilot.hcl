# An annotated example of a pilot's terms. What is left out keeps the default, which is shown. Spans are texts with a
# unit: "300ms", "2s". `indigousher check deploy/pilot.hcl` says what is wrong, by line and column. Fields marked (live)
# are taken over by a reload (SIGHUP); others want a restart and are named in the log when they differ.

zones    = ["north", "south"]     # needed; proxies and endpoints of other zones are refused
machines = ["small", "large"]     # needed; types of machine that req kinds may be limited to

req_kind "lookup" {
  response_target = "400ms"       # default 1s: an answer within it earns the whole payoff
  client_timeout  = "1500ms"      # default 3s: clients wait no longer, all tries together
  payoff          = 1             # default 1
  late_payoff     = 0.1           # default 0: part earned by a later answer
  repeats         = "replayable"  # default; or "uniqued" (with group and window), or "non-replayable"
}

req_kind "booking" {
  response_target = "800ms"
  payoff          = 5
  repeats         = "non-replayable"
  writes          = true          # default false
  only_machines   = ["large"]     # default: all; also only_zones = [...] and own_zone = true
}

pilot {
  name      = "pilot"             # default; as proxies and the list see it
  zone      = "north"             # default: the first zone
  rank      = 0                   # default; this pilot's number among the instances, from 0
  instances = 1                   # default; how many pilots there are
  seed      = 1                   # default
  listen    = "127.0.0.1:7400"    # default; where proxies join
  grpc      = ""                  # default: none; where proxies join over gRPC, as "127.0.0.1:7403"
  handover  = ""                  # default: none; path of the socket over which `pilot --take-over` takes over
  admin     = "127.0.0.1:7401"    # default; /metrics /healthz /readyz /state; "" for none
}

keys {                            # needed: three files, or the word plain
  # authority   = "keys/authority.pem"    # files that change are read anew, streams go on
  # certificate = "keys/pilot.pem"        # of indigousher://pilot/ZONE/NAME
  # private_key = "keys/pilot-key.pem"
  plain = true                    # default false: no keys at all; on loopback addresses only
}

list {                            # one of file and address is needed
  file    = "endpoints.hcl"       # a file that is watched (see endpoints.hcl beside this one)
  # address = "127.0.0.1:7500"    # or a source that streams changes over the framed protocol
  silence = "10s"                 # default; a streamed source that says nothing for so long is lost
}

channel {
  lines_per_s   = 4000            # default (live); pace towards all proxies together, heads included
  backlog       = 6000            # default (live); lines that may wait; rule 5
  head_lines    = 4               # default; what a message costs beside its lines
  messages_most = 30              # default (live); to one proxy within messages_over; 0: no limit; rule 5
  messages_over = "10s"           # default (live)
}

rules {
  drain_grace   = "2s"            # default (live); rule 3, and in rule 4
  bare_for      = "3s"            # default (live); rule 1
  cold          = "15s"           # default (live); after this an endpoint is warm at the latest
  cold_from     = 0.2             # default (live); part of its capacity that it starts with
  fall          = "1500ms"        # default (live); work sent in this span ...
  fall_multiple = 3               # default (live); ... beyond so many times its capacity pushes it over; rule 4
}

proxies {
  count        = 100              # default 1; of all pilots together
  by_zone      = true             # default false; proxies join a pilot of their zone if there is one
  ejects_after = 5                # default; proxies avoid an endpoint after so many failures in a row; 0: never
  try_again    = 1                # default; 0 no, 1 after proof that nothing ran, 2 once after any failure, 3 twice
  first_wait   = 1                # default; part of the response target that a try waits which another may follow
  admission    = "share"          # default; or "off": levels are disregarded
  pick         = "weighted"       # default; or "round", "two"
}

reports {
  fields      = ["util", "rate"]  # default; figures of load reports, also "waiting", "in_hand", "service_ms"
  period      = "1s"              # default; of proxies' sums
  lines_per_s = 0                 # default: no limit; report lines handed to the module
  probing     = false             # default; whether endpoints may be probed
}

intake {
  lines_per_s = 200000            # default; report lines taken in a second, more are sampled; 0: no limit
  standing    = 100000            # default; sums that may wait for the module; 0: no limit
  half        = "5s"              # default; age at which a figure weighs half
  longest     = "2m"              # default; a report that covers more is refused
  slowest     = 8                 # default; times the period that proxies may be asked to wait
}

prices {
  cross_zone = 0.1                # default; what a req that crosses zones costs, as a part of a payoff of 1
}

peers {                           # default: none; short notes between pilots over UDP
  # listen    = "127.0.0.1:7402"
  # addresses = { "1" = "127.0.0.1:7412" }  # by rank
  # secret    = "peers.secret"    # file of keys that seal them; wanted where there are keys (docs/keys.md)
}

streams {
  beat           = "1s"           # default; each side says something so often; three in silence end a stream
  write_deadline = "2s"           # default; a write that takes longer ends the stream
  hello_deadline = "3s"           # default
  seen_within    = "1500ms"       # default; a proxy that has not dealt with a message by then has its stream ended
  stop_within    = "2s"           # default (live); how long a stopping pilot waits for proxies to dial elsewhere
  new_per_s      = 500            # default; streams over gRPC let in a second; 0: no limit
  queue          = 64             # default; messages that may wait for one stream's writer
  max_frame      = 1048576        # default; bytes
  max_streams    = 4096           # default; also of senders in the intake
  max_proxies    = 65535          # default; distinct names in the life of a process
}

record {
  # dir   = "/var/lib/indigousher"  # default: nothing is recorded
  keep    = "168h"                # default; older segments go
  most_mb = 1024                  # default; the oldest go first
  tail    = "1m"                  # default; of turns that a returning pilot is rebuilt from
  within  = "2m"                  # default; an older record is not used
}

log {
  level  = "info"                 # default (live); debug, info, warn, error
  format = "console"              # default; or "json"
}
