about  = "Proxies die, roll, reach no pilot, and do not read; endpoints drain meanwhile."
like   = "quiet"
length = "50s"
seed   = 3

trouble "proxy_crash" {
  at   = "5s"
  for  = "2s"
  part = 0.5
}
trouble "counter_down" {
  at   = "12s"
  for  = "5s"
  part = 0.5
}
trouble "drain" {
  at  = "13s"
  for = "5s"
  who = ["a-std-0"]
}
trouble "mute_proxy" {
  at    = "22s"
  for   = "6s"
  count = 1
}
trouble "drain" {
  at  = "23s"
  for = "5s"
  who = ["b-std-0"]
}
trouble "proxy_roll" {
  at    = "32s"
  extra = "400ms"
  every = "1200ms"
}
trouble "drain" {
  at  = "34s"
  for = "4s"
  who = ["c-std-0"]
}
