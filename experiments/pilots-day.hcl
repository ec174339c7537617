about  = "120 endpoints at 0.65 of capacity; some hang, some drain, a zone is cut off, a pilot dies."
like   = "quiet"
length = "30s"

fleet {
  pilots  = ["a", "b", "c"]
  proxies = ["a", "b", "c"]
  times   = 80
}
clients {
  rate    = 4600
  retries = 1
}
endpoints "std" {
  zone   = "a"
  count  = 40
  spread = 0.1
}
endpoints "std" {
  zone   = "b"
  count  = 40
  spread = 0.1
}
endpoints "std" {
  zone   = "c"
  count  = 40
  spread = 0.1
}
trouble "hang" {
  at   = "5s"
  for  = "6s"
  part = 0.05
}
trouble "drain" {
  at   = "12s"
  for  = "3s"
  part = 0.05
}
trouble "zone_cut" {
  at   = "17s"
  for  = "3s"
  zone = "c"
}
trouble "pilot_kill" {
  at  = "23s"
  for = "2s"
  who = ["pilot-0"]
}
channel {
  lines_per_s = 12000
  backlog     = 18000
}
