about  = "All pilots die under load and come back knowing nothing: no record, no list yet, half the proxies with standing tables."
like   = "quiet"
length = "40s"
seed   = 3

fleet {
  pilots  = ["a", "b"]
  proxies = ["a", "b", "c"]
  times   = 4
}
clients {
  rate    = 400
  retries = 2
}
trouble "heavy_tail" {
  at   = "10s"
  for  = "12s"
  kind = "book"
  part = 0.03
  size = 8
}
trouble "shift" {
  at   = "12s"
  zone = "b"
  part = 0.2
}
trouble "hang" {
  at  = "14s"
  for = "14s"
  who = ["a-std-0", "b-std-0"]
}
trouble "crash" {
  at  = "15500ms"
  for = "2s"
  who = ["c-std-2"]
}
trouble "list_down" {
  at  = "16s"
  for = "5s"
}
trouble "drain" {
  at  = "16100ms"
  for = "12s"
  who = ["c-std-1"]
}
trouble "pilot_kill" {
  at  = "16200ms"
  for = "1s"
}
trouble "proxy_crash" {
  at   = "16500ms"
  for  = "700ms"
  part = 0.5
}
