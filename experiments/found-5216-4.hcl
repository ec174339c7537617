about  = "Drawn: 15 endpoints, 12 proxies, 4 pilots, load 0.35."
like   = "quiet"
length = "21s"
seed   = 5216

fleet {
  pilots  = ["a", "b", "c", "a"]
  proxies = ["a", "b", "c"]
  times   = 4
  record  = true
}
proxies {
  by_zone   = false
  try_again = 0
}
reports {
  period = "1.052s"
}
list {
  late = "716ms"
}
channel {
  lines_per_s   = 419
  backlog       = 628
  messages_most = 26
}
clients {
  rate    = 324.8
  retries = 1
  uneven  = 0.35
}
endpoints "std" {
  zone   = "a"
  count  = 5
  spread = 0.31
  queue  = 26
}
endpoints "std" {
  zone   = "b"
  count  = 5
  spread = 0.31
  queue  = 26
}
endpoints "std" {
  zone   = "c"
  count  = 5
  spread = 0.31
  queue  = 26
}
trouble "preempt" {
  at = "5.277s"
  for = "5.79s"
  extra = "1.153s"
  part = 0.212
}
trouble "zone_cut" {
  at = "5.932s"
  for = "8.674s"
  zone = "c"
}
trouble "zone_loss" {
  at = "10.301s"
  for = "311.5ms"
  size = 0.11487539065672092
  zone = "c"
}
