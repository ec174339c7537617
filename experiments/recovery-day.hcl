about  = "The grown deployments' size; both pilots die at 20 s, away for a second."
like   = "quiet"
length = "40s"

fleet {
  pilots  = ["a", "b"]
  proxies = ["a", "b", "c"]
  times   = 150
}
channel {
  lines_per_s = 12000
  backlog     = 18000
}
clients {
  rate    = 1000
  retries = 1
}
endpoints "std" {
  zone   = "a"
  count  = 110
  cores  = 1
  spread = 0.1
}
endpoints "std" {
  zone   = "b"
  count  = 109
  cores  = 1
  spread = 0.1
}
endpoints "std" {
  zone   = "c"
  count  = 109
  cores  = 1
  spread = 0.1
}
trouble "hang" {
  at   = "8s"
  for  = "25s"
  part = 0.04
}
trouble "drain" {
  at   = "19800ms"
  for  = "4s"
  part = 0.03
}
trouble "pilot_kill" {
  at  = "20s"
  for = "1s"
}
